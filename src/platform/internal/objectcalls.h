#pragma once

#include "boost/asio/awaitable.hpp"

#include "platform/objectstore.h"

namespace heatherdeal::platform {

/// One write, with what is needed to recognise it later.
struct WriteRequest
{
  ObjectKey m_key;
  uint64_t m_ifVersion = 0;
  std::string m_value;
  std::string m_token;
};

/// Every object of a kind, at one revision of the store.
struct ObjectList
{
  uint64_t m_revision = 0;
  std::vector<StoredObject> m_objects;
};

boost::asio::awaitable<absl::StatusOr<StoredObject>>
CallRead(http::Client& aClient,
         core::Endpoint aPeer,
         ObjectKey aKey,
         core::Instant aDeadline);

boost::asio::awaitable<absl::StatusOr<uint64_t>>
CallWrite(http::Client& aClient,
          core::Endpoint aPeer,
          WriteRequest aWrite,
          core::Instant aDeadline);

/// Waits until the kind's revision is past aAfter, or the wait is over.
boost::asio::awaitable<absl::StatusOr<ObjectList>>
CallList(http::Client& aClient,
         core::Endpoint aPeer,
         std::string aKind,
         uint64_t aAfter,
         core::Duration aWait,
         core::Instant aDeadline);

} // namespace heatherdeal::platform
