#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/ids.h"
#include "core/instant.h"
#include "core/weightversion.h"
#include "http/message.h"

namespace heatherdeal::relay {

/// What one send adds to a request.
struct Sending
{
  std::string_view m_requestId;
  /// Only this instance may run the request.
  core::UpstreamId m_upstream;
  /// How long the upstream may work from now on.
  std::optional<core::Duration> m_timeLeft;
  /// Go on behind this event of an earlier run.
  std::optional<uint64_t> m_resumeAfter;
};

/// The upstream has worked on the request and answers it.
struct Served
{
  /// Proves that the body is the upstream's; "" if it gave none.
  std::string m_proof;
};

/// The upstream says that it has not run the request.
struct NotRun
{};

/// Another instance has the address; it has not run the request.
struct WrongInstance
{};

/// The answer belongs to another request.
struct ForeignAnswer
{};

using Verdict = std::variant<Served, NotRun, WrongInstance, ForeignAnswer>;

/// What an upstream tells of its load.
struct LoadReport
{
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
};

/// What the head of an answer says.
struct Reception
{
  Verdict m_verdict;
  std::optional<LoadReport> m_load;
  /// Weight version that begins the answer.
  std::optional<core::WeightVersion> m_version;
};

/// How requests to upstreams are encoded.
struct UpstreamCodec
{
  /// Field of an event that holds the weight version from it on.
  std::string_view m_versionField;
  void (*m_stamp)(http::Request& aRequest, const Sending& aSending) = nullptr;
  Reception (*m_receive)(const http::ResponseHead& aHead,
                         std::string_view aRequestId) = nullptr;
};

/// Registers the encoding before main; a binary has one.
struct UpstreamCodecRegistration
{
  explicit UpstreamCodecRegistration(const UpstreamCodec& aCodec);
};

const UpstreamCodec&
CodecInUse();

} // namespace heatherdeal::relay
