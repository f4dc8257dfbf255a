#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "boost/asio/awaitable.hpp"

#include "http/exchange.h"
#include "kernel/awaitablevalue.h"
#include "kernel/context.h"
#include "objectstore/object.h"

namespace heatherdeal::standin {

/// An object that the store holds from the start.
struct InitialObject
{
  objectstore::ObjectKey m_key;
  std::string m_value;
};

/// The faults that the object API simulates.
struct Faults
{
  /// Every request fails with status 503.
  bool m_down = false;
  /// Delay of every response.
  core::Duration m_delay{};
  /// The next writes, in this number, take effect, but their response is lost:
  /// the connection is closed.
  uint32_t m_lostReplies = 0;
  /// The next requests, in this number, fail with status 429.
  uint32_t m_throttledRequests = 0;
};

/// A long poll that waits for a change of its kind.
struct LongPoll
{
  std::string m_kind;
  std::shared_ptr<kernel::AwaitableValue<bool>> m_changed;
};

/// Stand-in for the platform's object API. It holds objects by kind and name,
/// and increases the revision with every change.
class ObjectApi : public std::enable_shared_from_this<ObjectApi>
{
public:
  explicit ObjectApi(kernel::Context& aContext)
    : m_context(aContext)
  {
  }

  void AddRoutes();
  /// Adds an object before any request arrives.
  void AddObject(const InitialObject& aObject);
  void SetFaults(const Faults& aFaults);

private:
  boost::asio::awaitable<void> HandleRead(http::Exchange& aExchange);
  boost::asio::awaitable<void> HandleWrite(http::Exchange& aExchange);
  boost::asio::awaitable<void> HandleWatch(http::Exchange& aExchange);
  boost::asio::awaitable<void> HandleFaults(http::Exchange& aExchange);

  /// Applies the current faults to a request. Returns true if a fault response
  /// has been sent and the request must not be handled.
  boost::asio::awaitable<bool> RespondWithFault(http::Exchange& aExchange);
  std::string SerializeList(const std::string& aKind) const;
  /// Completes the long polls of a kind.
  void CompleteLongPolls(const std::string& aKind);

  kernel::Context& m_context;
  mutable std::mutex m_mutex;
  std::map<objectstore::ObjectKey, objectstore::StoredObject> m_objects;
  /// The revision of the last change of each kind.
  std::map<std::string, uint64_t> m_revisionsByKind;
  std::vector<LongPoll> m_longPolls;
  Faults m_faults;
  uint64_t m_lastRevision = 0;
  uint64_t m_readCount = 0;
  uint64_t m_writeCount = 0;
};

} // namespace heatherdeal::standin
