#include "core/failure.h"

#include <charconv>
#include <span>
#include <vector>

#include "core/overloaded.h"

namespace heatherdeal::core {

namespace {

constexpr absl::string_view kPayloadTypeUrl = "heatherdeal/failure";

// Terminates the kind and each field in the payload. It is removed from field
// values, so that a value cannot be parsed as several fields.
constexpr char kFieldEnd = '\x1f';

void
AppendField(std::string& aPayload, std::string_view aField)
{
  for (const char c : aField) {
    if (c != kFieldEnd) {
      aPayload.push_back(c);
    }
  }
  aPayload.push_back(kFieldEnd);
}

// Calls aVisit(name, field) for each field. Formatting and parsing share this
// list, so that they agree on the fields and their order.
template<typename F, typename Visit>
void
ForEachField(F& aFailure, Visit&& aVisit)
{
  using T = std::remove_const_t<F>;
  if constexpr (std::is_same_v<T, InvalidSetting>) {
    aVisit("path", aFailure.m_path);
    aVisit("value", aFailure.m_value);
    aVisit("expected", aFailure.m_expected);
  } else if constexpr (std::is_same_v<T, InvalidInput>) {
    aVisit("where", aFailure.m_where);
    aVisit("expected", aFailure.m_expected);
  } else if constexpr (std::is_same_v<T, ConnectionFailed>) {
    aVisit("peer", aFailure.m_peer);
    aVisit("executed", aFailure.m_executed);
  } else if constexpr (std::is_same_v<T, DeadlineExceeded>) {
    aVisit("operation", aFailure.m_operation);
    aVisit("executed", aFailure.m_executed);
  } else if constexpr (std::is_same_v<T, TruncatedResponse> ||
                       std::is_same_v<T, UnprovedResponse> ||
                       std::is_same_v<T, UnnamedVersion>) {
    aVisit("peer", aFailure.m_peer);
  } else if constexpr (std::is_same_v<T, ResponseTooLarge>) {
    aVisit("peer", aFailure.m_peer);
    aVisit("limit-bytes", aFailure.m_limitBytes);
  } else if constexpr (std::is_same_v<T, PeerRefused>) {
    aVisit("peer", aFailure.m_peer);
    aVisit("status", aFailure.m_status);
    aVisit("executed", aFailure.m_executed);
  } else if constexpr (std::is_same_v<T, Overload>) {
    aVisit("resource", aFailure.m_resource);
  } else if constexpr (std::is_same_v<T, NoUpstream>) {
    aVisit("service", aFailure.m_service);
  } else if constexpr (std::is_same_v<T, RateLimited>) {
    aVisit("service", aFailure.m_service);
    aVisit("retry-after-ms", aFailure.m_retryAfterMs);
  } else if constexpr (std::is_same_v<T, Quarantined>) {
    aVisit("fingerprint", aFailure.m_fingerprint);
    aVisit("retry-after-ms", aFailure.m_retryAfterMs);
  } else if constexpr (std::is_same_v<T, AlreadySubmitted>) {
    aVisit("request-id", aFailure.m_requestId);
    aVisit("executed", aFailure.m_executed);
  } else if constexpr (std::is_same_v<T, SoftwareUnavailable>) {
    aVisit("stream", aFailure.m_stream);
  } else if constexpr (std::is_same_v<T, RecordUnavailable>) {
    aVisit("record", aFailure.m_record);
  } else if constexpr (std::is_same_v<T, VersionConflict>) {
    aVisit("expected", aFailure.m_expected);
    aVisit("found", aFailure.m_found);
  } else if constexpr (std::is_same_v<T, GenerationRegressed>) {
    aVisit("in-force", aFailure.m_inForce);
    aVisit("offered", aFailure.m_offered);
  } else if constexpr (std::is_same_v<T, NotFound>) {
    aVisit("what", aFailure.m_what);
  } else if constexpr (std::is_same_v<T, NotOwner>) {
    aVisit("shard", aFailure.m_shard);
    aVisit("owner", aFailure.m_owner);
  } else if constexpr (std::is_same_v<T, StaleCursor>) {
    aVisit("seen-incarnation", aFailure.m_seenIncarnation);
    aVisit("seen-number", aFailure.m_seenNumber);
  } else if constexpr (std::is_same_v<T, PullSuperseded>) {
    aVisit("shard", aFailure.m_shard);
  } else if constexpr (std::is_same_v<T, WatchGap>) {
    aVisit("object-kind", aFailure.m_objectKind);
  } else if constexpr (std::is_same_v<T, FenceRejected>) {
    aVisit("fence", aFailure.m_fence);
  } else if constexpr (std::is_same_v<T, Draining>) {
    aVisit("host", aFailure.m_host);
  } else {
    static_assert(std::is_same_v<T, Unauthorized>);
    aVisit("where", aFailure.m_where);
  }
}

std::string
FormatField(const std::string& aField)
{
  return aField;
}

template<typename Integer>
requires std::is_integral_v<Integer> std::string
FormatField(Integer aField)
{
  return std::to_string(aField);
}

std::string
FormatField(Executed aField)
{
  return std::string(ToText(aField));
}

bool
ParseField(std::string_view aText, std::string& aField)
{
  aField = aText;
  return true;
}

template<typename Integer>
requires std::is_integral_v<Integer>
bool
ParseField(std::string_view aText, Integer& aField)
{
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, aField);
  return error == std::errc() && rest == end;
}

bool
ParseField(std::string_view aText, Executed& aField)
{
  for (const Executed value :
       { Executed::No, Executed::Unknown, Executed::Yes }) {
    if (ToText(value) == aText) {
      aField = value;
      return true;
    }
  }
  return false;
}

template<typename F>
std::optional<Failure>
ParseFields(std::span<const std::string_view> aFields)
{
  F failure;
  size_t fieldIndex = 0;
  bool valid = true;
  ForEachField(failure, [&](std::string_view, auto& aField) {
    valid = valid && fieldIndex < aFields.size() &&
            ParseField(aFields[fieldIndex], aField);
    ++fieldIndex;
  });
  if (!valid || fieldIndex != aFields.size()) {
    return std::nullopt;
  }
  return failure;
}

// Finds the alternative of Failure named aKind and parses its fields.
template<size_t Index = 0>
std::optional<Failure>
ParseFailure(std::string_view aKind, std::span<const std::string_view> aFields)
{
  if constexpr (Index == std::variant_size_v<Failure>) {
    return std::nullopt;
  } else {
    using F = std::variant_alternative_t<Index, Failure>;
    if (F::kKind == aKind) {
      return ParseFields<F>(aFields);
    }
    return ParseFailure<Index + 1>(aKind, aFields);
  }
}

std::vector<std::string_view>
SplitFields(std::string_view aText)
{
  std::vector<std::string_view> fields;
  while (!aText.empty()) {
    const size_t end = aText.find(kFieldEnd);
    if (end == std::string_view::npos) {
      return {};
    }
    fields.push_back(aText.substr(0, end));
    aText.remove_prefix(end + 1);
  }
  return fields;
}

absl::StatusCode
ToStatusCode(const Failure& aFailure)
{
  return std::visit(
    Overloaded{
      [](const InvalidSetting&) { return absl::StatusCode::kInvalidArgument; },
      [](const InvalidInput&) { return absl::StatusCode::kInvalidArgument; },
      [](const DeadlineExceeded&) {
        return absl::StatusCode::kDeadlineExceeded;
      },
      [](const TruncatedResponse&) { return absl::StatusCode::kDataLoss; },
      [](const UnprovedResponse&) { return absl::StatusCode::kDataLoss; },
      [](const ResponseTooLarge&) { return absl::StatusCode::kDataLoss; },
      [](const UnnamedVersion&) { return absl::StatusCode::kDataLoss; },
      [](const Overload&) { return absl::StatusCode::kResourceExhausted; },
      [](const RateLimited&) { return absl::StatusCode::kResourceExhausted; },
      [](const VersionConflict&) { return absl::StatusCode::kAborted; },
      [](const FenceRejected&) { return absl::StatusCode::kAborted; },
      [](const GenerationRegressed&) {
        return absl::StatusCode::kFailedPrecondition;
      },
      [](const StaleCursor&) { return absl::StatusCode::kFailedPrecondition; },
      [](const NotOwner&) { return absl::StatusCode::kFailedPrecondition; },
      [](const Quarantined&) { return absl::StatusCode::kFailedPrecondition; },
      [](const NotFound&) { return absl::StatusCode::kNotFound; },
      [](const AlreadySubmitted&) { return absl::StatusCode::kAlreadyExists; },
      [](const WatchGap&) { return absl::StatusCode::kOutOfRange; },
      [](const Unauthorized&) { return absl::StatusCode::kUnauthenticated; },
      [](const auto&) { return absl::StatusCode::kUnavailable; } },
    aFailure);
}

} // namespace

std::string_view
KindOf(const Failure& aFailure)
{
  return std::visit([](const auto& aF) { return aF.kKind; }, aFailure);
}

Executed
ExecutedOf(const Failure& aFailure)
{
  return std::visit(
    Overloaded{ [](const ConnectionFailed& aF) { return aF.m_executed; },
                [](const DeadlineExceeded& aF) { return aF.m_executed; },
                [](const PeerRefused& aF) { return aF.m_executed; },
                [](const AlreadySubmitted& aF) { return aF.m_executed; },
                [](const TruncatedResponse&) { return Executed::Unknown; },
                [](const UnprovedResponse&) { return Executed::Unknown; },
                [](const ResponseTooLarge&) { return Executed::Unknown; },
                [](const UnnamedVersion&) { return Executed::Yes; },
                [](const auto&) { return Executed::No; } },
    aFailure);
}

bool
MayHaveCrashedPeer(const Failure& aFailure)
{
  return std::visit(Overloaded{ [](const TruncatedResponse&) { return true; },
                                [](const ConnectionFailed& aF) {
                                  return aF.m_executed != Executed::No;
                                },
                                [](const auto&) { return false; } },
                    aFailure);
}

std::string_view
ToText(Executed aExecuted)
{
  switch (aExecuted) {
    case Executed::No:
      return "no";
    case Executed::Yes:
      return "yes";
    case Executed::Unknown:
      break;
  }
  return "unknown";
}

std::string
Describe(const Failure& aFailure)
{
  std::string text(KindOf(aFailure));
  std::visit(
    [&text](const auto& aF) {
      ForEachField(aF, [&text](std::string_view aName, const auto& aField) {
        text += ' ';
        text += aName;
        text += '=';
        text += FormatField(aField);
      });
    },
    aFailure);
  return text;
}

std::string
EncodeFailure(const Failure& aFailure)
{
  std::string text;
  AppendField(text, KindOf(aFailure));
  std::visit(
    [&text](const auto& aF) {
      ForEachField(aF, [&text](std::string_view, const auto& aField) {
        AppendField(text, FormatField(aField));
      });
    },
    aFailure);
  return text;
}

std::optional<Failure>
DecodeFailure(std::string_view aText)
{
  const std::vector<std::string_view> fields = SplitFields(aText);
  if (fields.empty()) {
    return std::nullopt;
  }
  return ParseFailure(fields.front(), std::span(fields).subspan(1));
}

absl::Status
ToStatus(const Failure& aFailure)
{
  absl::Status status(ToStatusCode(aFailure), Describe(aFailure));
  status.SetPayload(kPayloadTypeUrl, absl::Cord(EncodeFailure(aFailure)));
  return status;
}

std::optional<Failure>
FailureFromStatus(const absl::Status& aStatus)
{
  const absl::optional<absl::Cord> payload =
    aStatus.GetPayload(kPayloadTypeUrl);
  if (!payload) {
    return std::nullopt;
  }
  return DecodeFailure(std::string(*payload));
}

bool
MayHaveBeenExecuted(const absl::Status& aStatus)
{
  const std::optional<Failure> failure = FailureFromStatus(aStatus);
  return !failure || ExecutedOf(*failure) != Executed::No;
}

} // namespace heatherdeal::core
