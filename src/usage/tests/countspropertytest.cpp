// Contents and counts are read back as they were written, whatever they hold.

#include "catch2/catch.hpp"

#include "core/tests/anyvalues.h"
#include "usage/internal/countscodec.h"

namespace heatherdeal::usage {

TEST_CASE("every stored content is read back")
{
  CHECK(rc::check([] {
    CustomerCounts counts;
    counts[core::AnyText()] = core::AnyNumber<uint64_t>(UINT64_MAX);
    counts[core::AnyText()] = core::AnyNumber<uint64_t>(UINT64_MAX);
    const auto read = DecodeContent(EncodeContent(counts));
    RC_ASSERT(read.ok());
    RC_ASSERT(*read == counts);
  }));
}

TEST_CASE("every message of counts is read back")
{
  CHECK(rc::check([] {
    CountMessage message;
    message.m_host = core::AnyBytes().substr(0, kMaxCustomerNameBytes);
    message.m_run = core::AnyNumber<uint64_t>(UINT64_MAX);
    message.m_epoch = core::AnyNumber<uint64_t>(UINT64_MAX);
    message.m_finalThrough = core::AnyNumber<uint64_t>(UINT64_MAX);
    CountedWindow window;
    window.m_window = core::AnyNumber<uint64_t>(UINT64_MAX);
    window.m_counts[core::AnyBytes().substr(0, kMaxCustomerNameBytes)] =
      core::AnyNumber<uint32_t>(UINT32_MAX);
    message.m_windows.push_back(window);
    const auto read = DecodeCounts(EncodeCounts(message));
    RC_ASSERT(read.ok());
    RC_ASSERT(*read == message);
  }));
}

} // namespace heatherdeal::usage
