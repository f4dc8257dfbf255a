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

/// What the store does wrong on command.
struct Faults
{
  bool m_down = false;
  core::Duration m_delay{};
  /// Writes that take effect and are answered by closing the connection.
  uint32_t m_lostReplies = 0;
  uint32_t m_throttled = 0;
};

struct Waiter
{
  std::string m_kind;
  std::shared_ptr<kernel::AwaitableValue<bool>> m_reply;
};

/// Objects by kind and name; every change raises the revision.
class ObjectApi : public std::enable_shared_from_this<ObjectApi>
{
public:
  explicit ObjectApi(kernel::Context& aContext)
    : m_context(aContext)
  {
  }

  void AddRoutes();
  void Add(const InitialObject& aObject);
  void SetFaults(const Faults& aFaults);

private:
  boost::asio::awaitable<void> Read(http::Exchange& aExchange);
  boost::asio::awaitable<void> Write(http::Exchange& aExchange);
  boost::asio::awaitable<void> Watch(http::Exchange& aExchange);
  boost::asio::awaitable<void> TakeFaults(http::Exchange& aExchange);

  /// True if a fault has taken the place of the answer.
  boost::asio::awaitable<bool> ActOutFault(http::Exchange& aExchange);
  std::string ListJson(const std::string& aKind) const;
  void WakeWaiters(const std::string& aKind);

  kernel::Context& m_context;
  mutable std::mutex m_mutex;
  std::map<objectstore::ObjectKey, objectstore::StoredObject> m_objects;
  std::map<std::string, uint64_t> m_revisions;
  std::vector<Waiter> m_waiters;
  Faults m_faults;
  uint64_t m_revision = 0;
  uint64_t m_reads = 0;
  uint64_t m_writes = 0;
};

} // namespace heatherdeal::standin
