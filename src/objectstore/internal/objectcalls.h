#pragma once

#include <functional>

#include "boost/asio/awaitable.hpp"

#include "http/client.h"
#include "objectstore/objectcodec.h"

namespace heatherdeal::objectstore {

/// Sends one request to the store, or to a host that relays it, and returns the
/// response.
using RequestSender =
  std::function<boost::asio::awaitable<absl::StatusOr<http::Response>>(
    http::Request aRequest,
    core::Instant aDeadline)>;

/// Reads an object; a missing object has version 0.
boost::asio::awaitable<absl::StatusOr<StoredObject>>
ReadObject(const RequestSender& aSendRequest,
           ObjectKey aKey,
           Freshness aFreshness,
           core::Instant aDeadline);

/// Performs a conditional write and returns the new version.
boost::asio::awaitable<absl::StatusOr<uint64_t>>
WriteObject(const RequestSender& aSendRequest,
            WriteRequest aWrite,
            core::Instant aDeadline);

/// Sends a request whose response body is not used. Returns true if the store
/// executed it or the object did not exist.
boost::asio::awaitable<absl::StatusOr<bool>>
ExecuteRequest(const RequestSender& aSendRequest,
               http::Request aRequest,
               core::Instant aDeadline);

/// Returns the changes after a revision, or all pages of the whole kind.
boost::asio::awaitable<absl::StatusOr<ObjectList>>
ListObjects(const RequestSender& aSendRequest,
            const ObjectCodec& aCodec,
            ListRequest aList,
            core::Instant aDeadline);

} // namespace heatherdeal::objectstore
