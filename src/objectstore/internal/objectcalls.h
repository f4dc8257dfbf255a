#pragma once

#include "boost/asio/awaitable.hpp"

#include "http/client.h"
#include "objectstore/objectcodec.h"

namespace heatherdeal::objectstore {

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

/// True if the object was removed or was not there.
boost::asio::awaitable<absl::StatusOr<bool>>
CallRemove(http::Client& aClient,
           core::Endpoint aPeer,
           ObjectKey aKey,
           core::Instant aDeadline);

/// The changes after a revision, or the whole kind, all its pages.
boost::asio::awaitable<absl::StatusOr<ObjectList>>
CallList(http::Client& aClient,
         const ObjectCodec& aCodec,
         core::Endpoint aPeer,
         ListRequest aList,
         core::Instant aDeadline,
         std::shared_ptr<http::CallAbort> aAbort);

} // namespace heatherdeal::objectstore
