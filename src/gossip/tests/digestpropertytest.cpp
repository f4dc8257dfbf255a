// Digests within their limits are read back as they were written.

#include "catch2/catch.hpp"

#include "core/tests/anyvalues.h"
#include "gossip/internal/digestcodec.h"

namespace heatherdeal::gossip {

TEST_CASE("every digest within its limits is read back")
{
  CHECK(rc::check([] {
    const auto name = [] { return core::AnyBytes().substr(0, kMaxNameBytes); };
    const auto number = [] { return core::AnyNumber<uint64_t>(UINT64_MAX); };
    Digest digest;
    digest.m_hosts.push_back(
      { name(), number(), number(), *rc::gen::arbitrary<bool>(), number() });
    digest.m_versions.push_back({ name(), { number() } });
    digest.m_missedChanges.push_back({ name(), number() });
    digest.m_topicMessages.push_back(
      { name(), core::AnyBytes().substr(0, kMaxTopicBytes) });
    const auto read = Decode(Encode(digest));
    RC_ASSERT(read.ok());
    RC_ASSERT(*read == digest);
  }));
}

} // namespace heatherdeal::gossip
