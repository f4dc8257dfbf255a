#pragma once

#include <string_view>
#include <variant>

#include "http/message.h"
#include "usage/windowcounts.h"

namespace heatherdeal::usage {

/// A report of one window to the service, and its sender.
struct UsageReport
{
  WindowId m_window = 0;
  const CustomerCounts& m_counts;
  std::string_view m_holder;
  uint64_t m_epoch = 0;
};

/// The service has the report.
struct ReportTaken
{};

/// The service has seen a higher fencing token.
struct FenceOutdated
{};

/// The service did not take the report, or it is not known whether it did.
struct ReportNotTaken
{
  uint32_t m_status = 0;
};

using ReportResponse = std::variant<ReportTaken, FenceOutdated, ReportNotTaken>;

/// Encodes reports to the service and decodes its responses.
struct UsageCodec
{
  http::Request (*m_encodeReport)(const UsageReport& aReport) = nullptr;
  ReportResponse (*m_decodeReport)(const http::Response& aResponse) = nullptr;
};

/// Replaces the default encoding. Must be constructed before main runs.
struct UsageCodecRegistration
{
  explicit UsageCodecRegistration(const UsageCodec& aCodec);
};

/// Returns the registered codec, or the default one.
const UsageCodec&
CodecInUse();

} // namespace heatherdeal::usage
