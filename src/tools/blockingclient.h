#pragma once

#include <memory>
#include <string_view>

#include "absl/status/statusor.h"

#include "core/ids.h"
#include "http/client.h"
#include "kernel/context.h"

namespace heatherdeal::tools {

/// Sends requests one at a time and blocks until each is done, for programs
/// that run no event loop.
class BlockingClient
{
public:
  BlockingClient();
  ~BlockingClient();
  BlockingClient(const BlockingClient&) = delete;
  BlockingClient& operator=(const BlockingClient&) = delete;

  /// Sends a request and waits for the response. Returns an error if the call
  /// fails or the deadline passes.
  absl::StatusOr<http::Response> Call(const core::Endpoint& aPeer,
                                      http::Request aRequest,
                                      core::Instant aDeadline);

private:
  kernel::Context m_context;
  std::shared_ptr<http::Clients> m_clients;
};

/// Parses ADDRESS:PORT. Returns InvalidInput if the text has another form or
/// the port is 0 or above 65535.
absl::StatusOr<core::Endpoint>
ParseEndpoint(std::string_view aText);

} // namespace heatherdeal::tools
