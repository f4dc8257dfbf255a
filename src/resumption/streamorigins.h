#pragma once

#include <array>
#include <memory>
#include <mutex>

#include "absl/status/statusor.h"
#include "boost/asio/awaitable.hpp"
#include "boost/json/value.hpp"

#include "kernel/awaitablevalue.h"
#include "kernel/context.h"
#include "kernel/deadlinetimer.h"
#include "objectstore/object.h"
#include "resumption/origins.h"

namespace heatherdeal::resumption {

/// Remembers which software began the streams that callers may resume, on any
/// host and after all hosts were stopped at once. New origins reach the object
/// store within a fraction of a second; what is lost before is unknown later,
/// and its stream cannot be resumed.
class StreamOrigins : public std::enable_shared_from_this<StreamOrigins>
{
public:
  explicit StreamOrigins(kernel::Context& aContext);

  /// Records that the software began the stream. Any thread.
  void Record(const StreamId& aStream, const core::Software& aSoftware);

  /// Returns the software that began the stream. Fails with SoftwareUnavailable
  /// if it is not known, or with RecordUnavailable if the object store does not
  /// tell. Must be called on the thread of the loop.
  boost::asio::awaitable<absl::StatusOr<core::Software>> Find(size_t aLoopIndex,
                                                              StreamId aStream);

  /// Returns how many origins this host knows.
  boost::json::value Dump() const;

private:
  /// Objects of the store that share the origins, by a hash of the stream.
  static constexpr size_t kShards = 16;

  using ReadResult = kernel::AwaitableValue<absl::Status>;

  struct Shard
  {
    std::vector<StreamOrigin> m_unsaved;
    bool m_isReading = false;
    /// Those that wait for the next read to begin.
    std::vector<std::shared_ptr<ReadResult>> m_readers;
  };

  static size_t ShardOf(const StreamId& aStream);
  static objectstore::ObjectKey KeyOf(size_t aShard);
  std::optional<core::Software> FindLocally(const StreamId& aStream) const;
  /// Reads a shard of the store and adds what it holds.
  boost::asio::awaitable<absl::Status> ReadShard(size_t aLoopIndex,
                                                 size_t aShard);
  // The functions below are for the control thread.
  void StartRead(size_t aShard);
  void AddStored(std::span<const StreamOrigin> aOrigins);
  core::Duration SaveInterval() const;
  void ScheduleSave();
  /// Saves the unsaved origins of the next shard that has any.
  void SaveNextShard();
  void MergeAndWrite(size_t aShard,
                     std::vector<StreamOrigin> aOrigins,
                     const objectstore::StoredObject& aStored);
  void FinishSave(size_t aShard,
                  std::span<const StreamOrigin> aOrigins,
                  bool aIsSaved);

  kernel::Context& m_context;
  kernel::DeadlineTimer m_saveTimer;
  bool m_isSaving = false;
  size_t m_nextShard = 0;
  /// Guards m_table and the unsaved origins of m_shards.
  mutable std::mutex m_mutex;
  OriginTable m_table;
  std::array<Shard, kShards> m_shards;
};

} // namespace heatherdeal::resumption
