#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/instant.h"
#include "http/exchange.h"
#include "kernel/context.h"

namespace heatherdeal::http {

/// Limits towards callers, as parsed from the settings.
struct ServerSettings
{
  core::Endpoint m_listen;
  uint32_t m_headerBytes = 16 * 1024;
  uint64_t m_bodyBytes = 8 * 1024 * 1024;
  uint32_t m_connections = 4096;
  core::Duration m_requestTime = std::chrono::seconds(10);
  core::Duration m_idleTime = std::chrono::seconds(60);
  core::Duration m_writeTime = std::chrono::seconds(30);
  std::string m_operatorToken;
};

/// Requests of a method whose path begins with a prefix, and their handler.
struct Route
{
  std::string m_method;
  std::string m_prefix;
  Handler m_handler;
};

/// Listens on one endpoint and spreads connections over the traffic loops.
class Server : public std::enable_shared_from_this<Server>
{
public:
  Server(kernel::Context& aContext, ServerSettings aSettings);

  /// Adds a route; only before Listen. Method "*" stands for any.
  void AddRoute(Route aRoute);

  /// A failure if the endpoint cannot be bound.
  absl::Status Listen();

  /// The port bound; differs from the settings' if that is 0.
  uint16_t Port() const { return m_port; }

  const ServerSettings& Settings() const { return m_settings; }
  const Handler* FindHandler(std::string_view aMethod,
                             std::string_view aTarget) const;
  kernel::Context& Kernel() { return m_context; }

  /// True if the request carries the operator token.
  bool IsOperator(const Request& aRequest) const;

  std::atomic<uint32_t>& OpenConnections() { return m_openConnections; }

private:
  kernel::Context& m_context;
  ServerSettings m_settings;
  std::vector<Route> m_routes;
  std::atomic<uint32_t> m_openConnections{ 0 };
  uint16_t m_port = 0;
};

} // namespace heatherdeal::http
