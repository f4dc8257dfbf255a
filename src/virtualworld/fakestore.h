#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "absl/status/statusor.h"

#include "virtualworld/eventqueue.h"

namespace heatherdeal::virtualworld {

/// An object and its version, which increases with each write. Version 0 means
/// that the object does not exist.
template<typename T>
struct Versioned
{
  uint64_t m_version = 0;
  T m_value;
};

/// A simulated object API on virtual time, for objects of one type.
template<typename T>
class FakeStore
{
public:
  using ReadDone = std::function<void(absl::StatusOr<Versioned<T>>)>;
  using WriteDone = std::function<void(absl::StatusOr<uint64_t>)>;

  FakeStore(EventQueue& aQueue, core::Duration aDelay)
    : m_queue(aQueue)
    , m_delay(aDelay)
  {
  }

  /// While down, reads and writes fail.
  void SetDown(bool aDown) { m_down = aDown; }
  bool IsDown() const { return m_down; }
  /// Applies the next aCount writes, but reports them as failed.
  void LoseReplies(uint32_t aCount) { m_repliesToLose = aCount; }
  uint64_t WriteCount() const { return m_writeCount; }
  uint64_t ReadCount() const { return m_readCount; }

  /// Reads an object and passes the result to aDone.
  void Read(std::string aName, ReadDone aDone)
  {
    m_queue.ScheduleAfter(m_delay, [this, aName, aDone] {
      m_readCount += 1;
      absl::StatusOr<Versioned<T>> result =
        absl::UnavailableError("store is down");
      if (!m_down) {
        result = m_objects[aName];
      }
      m_queue.ScheduleAfter(m_delay, [aDone, result] { aDone(result); });
    });
  }

  /// Writes an object if its version is aIfVersion, and passes the new version
  /// to aDone; fails with AbortedError on a version conflict.
  void Write(std::string aName, uint64_t aIfVersion, T aValue, WriteDone aDone)
  {
    m_queue.ScheduleAfter(m_delay, [this, aName, aIfVersion, aValue, aDone] {
      m_writeCount += 1;
      const absl::StatusOr<uint64_t> result = Apply(aName, aIfVersion, aValue);
      m_queue.ScheduleAfter(m_delay, [aDone, result] { aDone(result); });
    });
  }

private:
  absl::StatusOr<uint64_t> Apply(const std::string& aName,
                                 uint64_t aIfVersion,
                                 const T& aValue)
  {
    if (m_down) {
      return absl::UnavailableError("store is down");
    }
    Versioned<T>& object = m_objects[aName];
    if (object.m_version != aIfVersion) {
      return absl::AbortedError("object version conflict");
    }
    object.m_version = ++m_lastVersion;
    object.m_value = aValue;
    if (m_repliesToLose > 0) {
      m_repliesToLose -= 1;
      return absl::UnavailableError("response lost");
    }
    return object.m_version;
  }

  EventQueue& m_queue;
  core::Duration m_delay;
  bool m_down = false;
  uint32_t m_repliesToLose = 0;
  uint64_t m_lastVersion = 0;
  uint64_t m_readCount = 0;
  uint64_t m_writeCount = 0;
  std::map<std::string, Versioned<T>> m_objects;
};

} // namespace heatherdeal::virtualworld
