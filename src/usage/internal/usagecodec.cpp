#include "usage/usagecodec.h"

#include "boost/json/serialize.hpp"

#include "kernel/codecregistry.h"
#include "kernel/json.h"

namespace heatherdeal::usage {

namespace {

constexpr uint32_t kOk = 200;
constexpr uint32_t kConflict = 409;

http::Request
EncodeReport(const UsageReport& aReport)
{
  boost::json::object customers;
  for (const auto& [customer, count] : aReport.m_counts) {
    customers[customer] = count;
  }
  const boost::json::value body{ { "window", aReport.m_window },
                                 { "holder",
                                   kernel::JsonView(aReport.m_holder) },
                                 { "epoch", aReport.m_epoch },
                                 { "customers", std::move(customers) } };
  http::Request request;
  request.m_method = "POST";
  request.m_target = "/v1/usage";
  request.m_headers.push_back({ "Content-Type", "application/json" });
  request.m_body = boost::json::serialize(body);
  return request;
}

ReportResponse
DecodeReport(const http::Response& aResponse)
{
  const uint32_t status = aResponse.m_head.m_status;
  if (status == kOk) {
    return ReportTaken{};
  }
  if (status == kConflict) {
    return FenceOutdated{};
  }
  return ReportNotTaken{ status };
}

const UsageCodec kDefaultCodec{
  .m_encodeReport = EncodeReport,
  .m_decodeReport = DecodeReport,
};

} // namespace

UsageCodecRegistration::UsageCodecRegistration(const UsageCodec& aCodec)
{
  kernel::CodecRegistry<UsageCodec>::Register(aCodec);
}

const UsageCodec&
CodecInUse()
{
  return kernel::CodecRegistry<UsageCodec>::GetOrDefault(kDefaultCodec);
}

} // namespace heatherdeal::usage
