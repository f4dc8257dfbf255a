#include "objectstore/internal/objectcalls.h"

namespace heatherdeal::objectstore {

namespace {

namespace asio = boost::asio;

constexpr uint32_t kOk = 200;
constexpr uint32_t kNotFound = 404;

// The answers below are decoded at this end of the exchange; a relay passes
// them on as they are.
const core::Endpoint kStore{ "store", 0 };

} // namespace

asio::awaitable<absl::StatusOr<StoredObject>>
CallRead(const StoreExchange& aExchange,
         ObjectKey aKey,
         Freshness aFreshness,
         core::Instant aDeadline)
{
  http::Request request = CodecInUse().m_encodeRead(aKey, aFreshness);
  const absl::StatusOr<http::Response> answer =
    co_await aExchange(std::move(request), aDeadline);
  if (!answer.ok()) {
    co_return answer.status();
  }
  co_return CodecInUse().m_decodeRead(aKey, *answer, kStore);
}

asio::awaitable<absl::StatusOr<uint64_t>>
CallWrite(const StoreExchange& aExchange,
          WriteRequest aWrite,
          core::Instant aDeadline)
{
  http::Request request = CodecInUse().m_encodeWrite(aWrite);
  const absl::StatusOr<http::Response> answer =
    co_await aExchange(std::move(request), aDeadline);
  if (!answer.ok()) {
    co_return answer.status();
  }
  co_return CodecInUse().m_decodeWrite(aWrite, *answer, kStore);
}

asio::awaitable<absl::StatusOr<bool>>
CallPlain(const StoreExchange& aExchange,
          http::Request aRequest,
          core::Instant aDeadline)
{
  const absl::StatusOr<http::Response> answer =
    co_await aExchange(std::move(aRequest), aDeadline);
  if (!answer.ok()) {
    co_return answer.status();
  }
  const uint32_t status = answer->m_head.m_status;
  co_return status == kOk || status == kNotFound;
}

asio::awaitable<absl::StatusOr<ObjectList>>
CallList(const StoreExchange& aExchange,
         const ObjectCodec& aCodec,
         ListRequest aList,
         core::Instant aDeadline)
{
  ObjectList whole;
  for (;;) {
    http::Request request = aCodec.m_encodeList(aList);
    const absl::StatusOr<http::Response> answer =
      co_await aExchange(std::move(request), aDeadline);
    if (!answer.ok()) {
      co_return answer.status();
    }
    absl::StatusOr<ObjectList> page =
      aCodec.m_decodeList(aList, *answer, kStore);
    if (!page.ok()) {
      co_return page.status();
    }
    const bool isFirst = aList.m_continueAfter.empty();
    if (isFirst && !page->m_isTruncated) {
      co_return page;
    }
    if (isFirst) {
      // Changes behind the first page's revision come with the watch.
      whole.m_revision = page->m_revision;
    }
    for (StoredObject& object : page->m_objects) {
      whole.m_objects.push_back(std::move(object));
    }
    if (!page->m_isTruncated || page->m_objects.empty()) {
      co_return whole;
    }
    aList.m_continueAfter = whole.m_objects.back().m_key.m_name;
  }
}

} // namespace heatherdeal::objectstore
