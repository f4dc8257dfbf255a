#pragma once

#include <functional>

#include "boost/asio/awaitable.hpp"

#include "http/client.h"
#include "objectstore/objectcodec.h"

namespace heatherdeal::objectstore {

/// Sends one request to the store and returns its answer.
using StoreExchange =
  std::function<boost::asio::awaitable<absl::StatusOr<http::Response>>(
    http::Request aRequest,
    core::Instant aDeadline)>;

boost::asio::awaitable<absl::StatusOr<StoredObject>>
CallRead(const StoreExchange& aExchange,
         ObjectKey aKey,
         Freshness aFreshness,
         core::Instant aDeadline);

boost::asio::awaitable<absl::StatusOr<uint64_t>>
CallWrite(const StoreExchange& aExchange,
          WriteRequest aWrite,
          core::Instant aDeadline);

/// True if the request was carried out, or the object was not there.
boost::asio::awaitable<absl::StatusOr<bool>>
CallPlain(const StoreExchange& aExchange,
          http::Request aRequest,
          core::Instant aDeadline);

/// The changes after a revision, or the whole kind, all its pages.
boost::asio::awaitable<absl::StatusOr<ObjectList>>
CallList(const StoreExchange& aExchange,
         const ObjectCodec& aCodec,
         ListRequest aList,
         core::Instant aDeadline);

} // namespace heatherdeal::objectstore
