#include "objectstore/internal/objectcalls.h"

#include "core/failure.h"

namespace heatherdeal::objectstore {

namespace {

namespace asio = boost::asio;

constexpr uint32_t kOk = 200;
constexpr uint32_t kNotFound = 404;

// Stands for the store in decoding errors, whichever host sent the response:
// relays forward the responses of the store unchanged.
const core::Endpoint kStorePeer{ "store", 0 };

} // namespace

asio::awaitable<absl::StatusOr<StoredObject>>
ReadObject(const RequestSender& aSendRequest,
           ObjectKey aKey,
           Freshness aFreshness,
           core::Instant aDeadline)
{
  http::Request request = CodecInUse().m_encodeRead(aKey, aFreshness);
  const absl::StatusOr<http::Response> response =
    co_await aSendRequest(std::move(request), aDeadline);
  if (!response.ok()) {
    co_return response.status();
  }
  co_return CodecInUse().m_decodeRead(aKey, *response, kStorePeer);
}

asio::awaitable<absl::StatusOr<uint64_t>>
WriteObject(const RequestSender& aSendRequest,
            WriteRequest aWrite,
            core::Instant aDeadline)
{
  http::Request request = CodecInUse().m_encodeWrite(aWrite);
  const absl::StatusOr<http::Response> response =
    co_await aSendRequest(std::move(request), aDeadline);
  if (!response.ok()) {
    co_return response.status();
  }
  co_return CodecInUse().m_decodeWrite(aWrite, *response, kStorePeer);
}

asio::awaitable<absl::StatusOr<bool>>
ExecuteRequest(const RequestSender& aSendRequest,
               http::Request aRequest,
               core::Instant aDeadline)
{
  const absl::StatusOr<http::Response> response =
    co_await aSendRequest(std::move(aRequest), aDeadline);
  if (!response.ok()) {
    co_return response.status();
  }
  const uint32_t status = response->m_head.m_status;
  co_return status == kOk || status == kNotFound;
}

asio::awaitable<absl::StatusOr<ObjectList>>
ListObjects(const RequestSender& aSendRequest,
            const ObjectCodec& aCodec,
            ListRequest aList,
            core::Instant aDeadline)
{
  ObjectList fullList;
  for (;;) {
    http::Request request = aCodec.m_encodeList(aList);
    const absl::StatusOr<http::Response> response =
      co_await aSendRequest(std::move(request), aDeadline);
    if (!response.ok()) {
      co_return response.status();
    }
    absl::StatusOr<ObjectList> page =
      aCodec.m_decodeList(aList, *response, kStorePeer);
    if (!page.ok()) {
      co_return page.status();
    }
    if (page->m_isTruncated && page->m_objects.empty()) {
      co_return core::ToStatus(core::InvalidInput{
        "list of " + aList.m_kind, "an object on each page but the last" });
    }
    const bool isFirst = aList.m_continueAfterName.empty();
    if (isFirst && !page->m_isTruncated) {
      co_return page;
    }
    if (isFirst) {
      // The watch continues from the revision of the first page, so it also
      // reports changes made while the later pages were read.
      fullList.m_revision = page->m_revision;
    }
    for (StoredObject& object : page->m_objects) {
      fullList.m_objects.push_back(std::move(object));
    }
    for (UnreadableObject& object : page->m_unreadable) {
      fullList.m_unreadable.push_back(std::move(object));
    }
    if (!page->m_isTruncated) {
      co_return fullList;
    }
    aList.m_continueAfterName = fullList.m_objects.back().m_key.m_name;
  }
}

} // namespace heatherdeal::objectstore
