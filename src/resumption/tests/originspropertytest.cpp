// Stored origins are read back as they were written, whatever they hold.

#include "catch2/catch.hpp"

#include "core/tests/anyvalues.h"
#include "resumption/internal/originjson.h"

namespace heatherdeal::resumption {

TEST_CASE("every origin is read back")
{
  CHECK(rc::check([] {
    constexpr core::Instant kNow{ std::chrono::seconds(100) };
    StreamOrigin origin;
    origin.m_stream.m_value = core::AnyText();
    origin.m_expiresAt = kNow + std::chrono::seconds(*rc::gen::inRange(0, 60));
    if (*rc::gen::arbitrary<bool>()) {
      origin.m_software =
        core::Software{ { core::AnyText() }, { core::AnyText() } };
    }
    const StreamOrigin origins[] = { origin };
    const auto read = ParseOrigins(ToJson(origins, kNow), kNow);
    RC_ASSERT(read.ok());
    RC_ASSERT(read->size() == 1);
    RC_ASSERT(read->front().m_stream == origin.m_stream);
    RC_ASSERT(read->front().m_software == origin.m_software);
  }));
}

} // namespace heatherdeal::resumption
