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
#include "limits/limits.h"

namespace heatherdeal::relay {

/// What the codec adds to a request when it is sent to an upstream.
struct SendContext
{
  std::string_view m_requestId;
  /// Only this instance of the upstream may execute the request.
  core::UpstreamId m_expectedInstance;
  /// The customer that the request belongs to. If it is not empty, it replaces
  /// what the request says of a customer and of an API key.
  core::CustomerId m_customer;
  /// True if the upstream must not learn what the request says of a customer
  /// and of an API key, although it belongs to no customer.
  bool m_isAnonymous = false;
  /// Time from now until the upstream has to stop working on the request.
  std::optional<core::Duration> m_timeLeft;
  /// Resumes the stream after this event of an earlier attempt.
  std::optional<uint64_t> m_resumeAfter;
};

/// The upstream executed the request.
struct Served
{
  /// Proves that the body comes from the upstream. Empty if the response has
  /// no proof.
  std::string m_proof;
};

/// The upstream states that it did not execute the request.
struct NotExecuted
{};

/// Another instance now has this address. It did not execute the request.
struct WrongInstance
{};

/// The response belongs to another request.
struct MismatchedResponse
{};

using UpstreamOutcome =
  std::variant<Served, NotExecuted, WrongInstance, MismatchedResponse>;

/// The load that an upstream reports.
struct LoadReport
{
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  /// Number of requests that run at the same time; 0 if not reported.
  uint32_t m_slots = 0;
  /// How long work takes now, in percent of the usual; 0 if not reported.
  uint32_t m_workTimePercent = 0;
};

/// The decoded head of a response.
struct DecodedHead
{
  UpstreamOutcome m_outcome;
  std::optional<LoadReport> m_load;
  limits::LimitStatement m_limit;
  /// True if the upstream says that it leaves and must get no new requests.
  bool m_isLeaving = false;
  /// The weight version at the start of the response.
  std::optional<core::WeightVersion> m_version;
};

/// Encodes requests to upstreams and decodes the heads of their responses.
struct UpstreamCodec
{
  /// Name of the event field that holds the weight version from this event on.
  std::string_view m_versionField;
  void (*m_encodeRequest)(http::Request& aRequest,
                          const SendContext& aContext) = nullptr;
  DecodedHead (*m_decodeHead)(const http::ResponseHead& aHead,
                              std::string_view aRequestId) = nullptr;
};

/// Registers the codec. Must be constructed before main runs, and only once in
/// a binary.
struct UpstreamCodecRegistration
{
  explicit UpstreamCodecRegistration(const UpstreamCodec& aCodec);
};

/// Returns the registered codec, or an empty one if there is none.
const UpstreamCodec&
CodecInUse();

} // namespace heatherdeal::relay
