#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/instant.h"
#include "http/exchange.h"
#include "http/processbudget.h"
#include "http/responsebuffer.h"
#include "kernel/context.h"

namespace heatherdeal::http {

/// Endpoint and limits of the server, parsed from the settings.
struct ServerSettings
{
  core::Endpoint m_listen;
  uint32_t m_maxHeaderBytes = 16 * 1024;
  uint64_t m_maxBodyBytes = 8 * 1024 * 1024;
  uint32_t m_maxConnections = 4096;
  /// Timeout for reading a request from its first byte on.
  core::Duration m_requestTimeout = std::chrono::seconds(10);
  /// Timeout for the first byte of the next request on a connection.
  core::Duration m_idleTimeout = std::chrono::seconds(60);
  /// Timeout for writing a response, or one part of a streamed response.
  core::Duration m_writeTimeout = std::chrono::seconds(30);
  /// Token that authorizes operator requests; empty if none are allowed.
  std::string m_operatorToken;
  /// Limits of the responses that this process receives.
  ResponseLimits m_responseLimits;
  /// Limits that all listeners and clients of the process share.
  budget::BudgetLimits m_budgetLimits;
};

/// What is known of the bodies of a route.
struct BodyRule
{
  uint64_t m_maxBytes = UINT64_MAX;
  /// The number of copies of the body that its handler makes, of any encoding.
  uint32_t m_copies = 1;
};

/// Maps requests by method and path prefix to a handler.
struct Route
{
  std::string m_method;
  std::string m_pathPrefix;
  Handler m_handler;
  /// Returns the rule for a request whose body has not arrived; nullptr if the
  /// limits of the server suffice.
  std::function<BodyRule(const Request&)> m_ruleForBody = nullptr;
};

/// Accepts connections on one endpoint and distributes them over the traffic
/// loops.
class Server : public std::enable_shared_from_this<Server>
{
public:
  Server(kernel::Context& aContext, ServerSettings aSettings);

  /// Adds a route. The method "*" matches any method. To be called before
  /// Listen.
  void AddRoute(Route aRoute);

  /// Binds the endpoint and starts to accept connections. Fails if the endpoint
  /// cannot be bound.
  absl::Status Listen();

  /// Returns the bound port, which differs from the settings if their port is
  /// 0.
  uint16_t Port() const { return m_port; }

  const ServerSettings& Settings() const { return m_settings; }
  const std::shared_ptr<ProcessBudget>& Budget() const { return m_budget; }
  /// Returns the matching route with the longest prefix, or nullptr if no route
  /// matches.
  const Route* FindRoute(std::string_view aMethod,
                         std::string_view aTarget) const;
  kernel::Context& Kernel() { return m_context; }

  /// True if the request carries the configured operator token.
  bool HasOperatorToken(const Request& aRequest) const;

  std::atomic<uint32_t>& OpenConnections() { return m_openConnections; }

private:
  kernel::Context& m_context;
  ServerSettings m_settings;
  std::shared_ptr<ProcessBudget> m_budget;
  std::vector<Route> m_routes;
  std::atomic<uint32_t> m_openConnections{ 0 };
  uint16_t m_port = 0;
};

} // namespace heatherdeal::http
