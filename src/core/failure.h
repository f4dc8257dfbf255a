#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "absl/status/status.h"

namespace heatherdeal::core {

/// Whether the refused or failed request ran at an upstream.
enum class Executed : uint8_t
{
  No,
  Unknown,
  Yes,
};

/// A setting that does not parse or is out of its range.
struct InvalidSetting
{
  static constexpr std::string_view kKind = "invalid-setting";
  std::string m_path;
  std::string m_value;
  std::string m_expected;
};

/// A message from outside that cannot be accepted.
struct InvalidInput
{
  static constexpr std::string_view kKind = "invalid-input";
  std::string m_where;
  std::string m_expected;
};

/// A connection could not be made, or broke.
struct ConnectionFailed
{
  static constexpr std::string_view kKind = "connection-failed";
  std::string m_peer;
  Executed m_executed = Executed::Unknown;
};

/// The deadline of the operation has passed.
struct DeadlineExceeded
{
  static constexpr std::string_view kKind = "deadline-exceeded";
  std::string m_operation;
  Executed m_executed = Executed::Unknown;
};

/// An answer ended before its end mark.
struct TruncatedAnswer
{
  static constexpr std::string_view kKind = "truncated-answer";
  std::string m_peer;
};

/// A peer answered with an HTTP status that is no success.
struct PeerRefused
{
  static constexpr std::string_view kKind = "peer-refused";
  std::string m_peer;
  uint32_t m_status = 0;
  Executed m_executed = Executed::Unknown;
};

/// A limit of this process is reached; the request was not run.
struct Overload
{
  static constexpr std::string_view kKind = "overload";
  std::string m_resource;
};

/// No upstream of the service may be used now; the request was not run.
struct NoUpstream
{
  static constexpr std::string_view kKind = "no-upstream";
  std::string m_service;
};

/// The request crashed upstreams before and is refused.
struct Quarantined
{
  static constexpr std::string_view kKind = "quarantined";
  std::string m_fingerprint;
};

/// A request id was seen before; its first run decides.
struct AlreadySubmitted
{
  static constexpr std::string_view kKind = "already-submitted";
  std::string m_requestId;
  Executed m_executed = Executed::Unknown;
};

/// A record that has to be made first cannot be; the request was not run.
struct RecordUnavailable
{
  static constexpr std::string_view kKind = "record-unavailable";
  std::string m_record;
};

/// A conditional update met another version.
struct VersionConflict
{
  static constexpr std::string_view kKind = "version-conflict";
  uint64_t m_expected = 0;
  uint64_t m_found = 0;
};

/// A configuration is not newer than the one in force.
struct GenerationRegressed
{
  static constexpr std::string_view kKind = "generation-regressed";
  uint64_t m_inForce = 0;
  uint64_t m_offered = 0;
};

struct NotFound
{
  static constexpr std::string_view kKind = "not-found";
  std::string m_what;
};

/// The process does not own the shard that was asked for.
struct NotOwner
{
  static constexpr std::string_view kKind = "not-owner";
  std::string m_shard;
  std::string m_owner;
};

/// A pull names an older cursor than one already seen.
struct StaleCursor
{
  static constexpr std::string_view kKind = "stale-cursor";
  uint64_t m_seenIncarnation = 0;
  uint64_t m_seenNumber = 0;
};

/// A newer pull of the same trainer took the place of this one.
struct PullSuperseded
{
  static constexpr std::string_view kKind = "pull-superseded";
  std::string m_shard;
};

/// A watch missed changes and has to list again.
struct WatchGap
{
  static constexpr std::string_view kKind = "watch-gap";
  std::string m_objectKind;
};

/// The stream did not name the weight version of its tokens.
struct UnnamedVersion
{
  static constexpr std::string_view kKind = "unnamed-version";
  std::string m_peer;
};

/// An order carried an older fencing number than the peer has seen.
struct FenceRejected
{
  static constexpr std::string_view kKind = "fence-rejected";
  uint64_t m_fence = 0;
};

/// The process is shutting down; the request was not run.
struct Draining
{
  static constexpr std::string_view kKind = "draining";
  std::string m_host;
};

/// The operator token is missing or wrong.
struct Unauthorized
{
  static constexpr std::string_view kKind = "unauthorized";
  std::string m_where;
};

using Failure = std::variant<InvalidSetting,
                             InvalidInput,
                             ConnectionFailed,
                             DeadlineExceeded,
                             TruncatedAnswer,
                             PeerRefused,
                             Overload,
                             NoUpstream,
                             Quarantined,
                             AlreadySubmitted,
                             RecordUnavailable,
                             VersionConflict,
                             GenerationRegressed,
                             NotFound,
                             NotOwner,
                             StaleCursor,
                             PullSuperseded,
                             WatchGap,
                             UnnamedVersion,
                             FenceRejected,
                             Draining,
                             Unauthorized>;

/// The stable name of the failure's type.
std::string_view
KindOf(const Failure& aFailure);

/// Whether the request behind the failure ran.
Executed
ExecutedOf(const Failure& aFailure);

/// True if the peer may have gone down with the request.
bool
MayHaveCrashed(const Failure& aFailure);

/// "no", "unknown" or "yes".
std::string_view
ToText(Executed aExecuted);

/// One line for people: the kind and its fields.
std::string
Describe(const Failure& aFailure);

/// Carries the failure in a status as a typed payload.
absl::Status
ToStatus(const Failure& aFailure);

/// The failure a status carries; nothing if it carries none.
std::optional<Failure>
FromStatus(const absl::Status& aStatus);

} // namespace heatherdeal::core
