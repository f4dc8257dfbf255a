#include "core/failure.h"

#include "catch2/catch.hpp"

#include "core/overloaded.h"

namespace heatherdeal::core {

TEST_CASE("each failure converts to a status and back without loss")
{
  const std::vector<Failure> failures{
    InvalidSetting{ "$.a", "1", "a string" },
    InvalidInput{ "header", "shorter" },
    ConnectionFailed{ "127.0.0.1:1", Executed::No },
    DeadlineExceeded{ "call", Executed::Unknown },
    TruncatedResponse{ "peer" },
    UnprovedResponse{ "peer" },
    ResponseTooLarge{ "peer", 1024 },
    PeerRefused{ "peer", 503, Executed::Yes },
    Overload{ "queue" },
    NoUpstream{ "songs" },
    RateLimited{ "songs", 1500 },
    Quarantined{ "ab12", 60000 },
    AlreadySubmitted{ "id", Executed::Yes },
    SoftwareUnavailable{ "stream" },
    RecordUnavailable{ "submission" },
    VersionConflict{ 3, 4 },
    GenerationRegressed{ 9, 8 },
    NotFound{ "it" },
    NotOwner{ "job/0", "127.0.0.1:2" },
    StaleCursor{ 2, 11 },
    PullSuperseded{ "job/0" },
    WatchGap{ "leases" },
    UnnamedVersion{ "engine" },
    FenceRejected{ 5 },
    Draining{ "host" },
    Unauthorized{ "/dump" },
  };
  REQUIRE(failures.size() == std::variant_size_v<Failure>);
  for (const Failure& failure : failures) {
    const absl::Status status = ToStatus(failure);
    CHECK_FALSE(status.ok());
    const std::optional<Failure> restored = FailureFromStatus(status);
    REQUIRE(restored.has_value());
    CHECK(Describe(*restored) == Describe(failure));
    CHECK(ExecutedOf(*restored) == ExecutedOf(failure));
  }
}

TEST_CASE("a field value that contains the separator does not add a field")
{
  const absl::Status status = ToStatus(InvalidInput{ "a\x1f"
                                                     "b",
                                                     "c" });
  const std::optional<Failure> restored = FailureFromStatus(status);
  REQUIRE(restored.has_value());
  CHECK(std::get<InvalidInput>(*restored).m_where == "ab");
  CHECK(std::get<InvalidInput>(*restored).m_expected == "c");
}

TEST_CASE("a status without a valid payload carries no failure")
{
  CHECK_FALSE(FailureFromStatus(absl::InternalError("x")).has_value());
  absl::Status truncated = absl::InternalError("x");
  truncated.SetPayload("heatherdeal/failure", absl::Cord("not-found"));
  CHECK_FALSE(FailureFromStatus(truncated).has_value());
}

} // namespace heatherdeal::core
