#pragma once

#include <deque>
#include <memory>
#include <optional>

#include "boost/beast/core/flat_buffer.hpp"
#include "boost/beast/core/tcp_stream.hpp"
#include "boost/beast/http/buffer_body.hpp"
#include "boost/beast/http/parser.hpp"

#include "http/client.h"

namespace heatherdeal::http {

/// Maximum size of what cannot be parsed yet: a head, the extension of a chunk
/// or a trailer, besides the body that arrived with it.
inline constexpr size_t kMaxUnparsedBytes = 64UL * 1024;

/// The number of requests after which no late copy of a response is expected.
inline constexpr size_t kMaxCarriedIds = 16;

/// A connection to a peer. At most one request is in flight on it.
class PooledConnection
{
public:
  PooledConnection(Client& aClient,
                   boost::asio::io_context& aLoop,
                   core::Endpoint aPeer)
    : m_client(aClient)
    , m_budgetSlot(aClient.Budget())
    , m_stream(aLoop)
    , m_buffer(kMaxUnparsedBytes)
    , m_peer(std::move(aPeer))
  {
  }

  /// Adds the id of a request that is sent on the connection.
  void RememberId(std::string aId)
  {
    if (aId.empty()) {
      return;
    }
    m_carriedIds.push_back(std::move(aId));
    if (m_carriedIds.size() > kMaxCarriedIds) {
      m_carriedIds.pop_front();
    }
  }

  Client& m_client;
  ProcessBudget::OutgoingConnection m_budgetSlot;
  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer;
  core::Endpoint m_peer;
  /// Parser of the current response; nullopt while the connection is idle.
  std::optional<
    boost::beast::http::response_parser<boost::beast::http::buffer_body>>
    m_parser;
  /// The ids of the last requests that the connection carried.
  std::deque<std::string> m_carriedIds;
  /// True if the connection has carried a request, with or without an id.
  bool m_isUsed = false;
  /// End of the time during which the idle connection may be reused.
  core::Instant m_reusableUntil{};
};

} // namespace heatherdeal::http
