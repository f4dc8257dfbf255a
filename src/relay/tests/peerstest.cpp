#include "relay/peers.h"

#include <set>

#include "catch2/catch.hpp"

namespace heatherdeal::relay {

namespace {

using std::chrono::seconds;

constexpr core::Instant kNow{ seconds(100) };
const std::vector<PeerCandidate> kCandidates{ { "entry1", true },
                                              { "entry2", true },
                                              { "rollout", false } };

/// Returns the names of all hosts that calls are distributed over.
std::set<std::string>
ChooseAll(const PeerTable& aTable,
          std::span<const std::string> aTried = {},
          core::Instant aNow = kNow)
{
  std::set<std::string> chosen;
  for (uint64_t sequence = 0; sequence < 12; ++sequence) {
    const auto index = ChoosePeer(aTable, kCandidates, aTried, sequence, aNow);
    if (index) {
      chosen.emplace(kCandidates[*index].m_name);
    }
  }
  return chosen;
}

using Names = std::set<std::string>;

} // namespace

TEST_CASE(
  "calls are distributed over the entry hosts of which nothing is known")
{
  CHECK(ChooseAll({}) == Names{ "entry1", "entry2" });
}

TEST_CASE("hosts that reached upstreams lately are preferred")
{
  PeerTable table;
  RecordOutcome(table, "entry2", PeerOutcome::Reached, kNow);
  CHECK(ChooseAll(table) == Names{ "entry2" });
  CHECK(ChooseAll(table, {}, kNow + seconds(5)) == Names{ "entry1", "entry2" });
}

// Guards against calls that go around among hosts that are all cut off
// (RECOVER).
TEST_CASE("hosts that are cut off are left out for a while")
{
  PeerTable table;
  RecordOutcome(table, "entry1", PeerOutcome::Unreachable, kNow);
  CHECK(ChooseAll(table) == Names{ "entry2" });
  RecordOutcome(table, "entry2", PeerOutcome::Unreachable, kNow);
  CHECK(ChooseAll(table) == Names{ "rollout" });
  RecordOutcome(table, "rollout", PeerOutcome::Unreachable, kNow);
  CHECK(ChooseAll(table).empty());
  CHECK(ChooseAll(table, {}, kNow + seconds(2)) == Names{ "entry1", "entry2" });
}

TEST_CASE("a call goes to no host twice, and to a rollout host after a failure")
{
  const std::vector<std::string> one{ "entry1" };
  CHECK(ChooseAll({}, one) == Names{ "rollout" });
  const std::vector<std::string> two{ "entry1", "rollout" };
  CHECK(ChooseAll({}, two) == Names{ "entry2" });
  const std::vector<std::string> all{ "entry1", "entry2", "rollout" };
  CHECK(ChooseAll({}, all).empty());
}

TEST_CASE("what is known of hosts is forgotten")
{
  PeerTable table;
  for (int i = 0; i < 100; ++i) {
    RecordOutcome(table,
                  std::to_string(i),
                  PeerOutcome::Unreachable,
                  kNow + i * seconds(10));
  }
  CHECK(table.size() == 1);
}

} // namespace heatherdeal::relay
