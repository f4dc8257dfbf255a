#pragma once

#include <memory>
#include <string_view>

#include "absl/status/statusor.h"

#include "core/ids.h"
#include "http/client.h"
#include "kernel/context.h"

namespace heatherdeal::tools {

/// Makes calls one after the other, for programs without a loop.
class BlockingClient
{
public:
  BlockingClient();
  ~BlockingClient();
  BlockingClient(const BlockingClient&) = delete;
  BlockingClient& operator=(const BlockingClient&) = delete;

  /// Waits until the answer is there or the deadline has passed.
  absl::StatusOr<http::Response> Call(const core::Endpoint& aPeer,
                                      http::Request aRequest,
                                      core::Instant aDeadline);

private:
  kernel::Context m_context;
  std::shared_ptr<http::Clients> m_clients;
};

/// Parses ADDRESS:PORT; InvalidInput if it is none.
absl::StatusOr<core::Endpoint>
ParseEndpoint(std::string_view aText);

} // namespace heatherdeal::tools
