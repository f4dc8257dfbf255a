#include "usage/internal/countscodec.h"

#include <sstream>

#include "boost/json/serialize.hpp"

#include "kernel/json.h"
#include "protocol/binaryarchive.h"

namespace heatherdeal::usage {

namespace {

using protocol::InputArchive;
using protocol::LoadCount;
using protocol::OutputArchive;

constexpr size_t kMaxHostNameBytes = 255;

void
SaveText(OutputArchive& aArchive, std::string_view aText)
{
  aArchive(static_cast<uint8_t>(aText.size()));
  aArchive.saveBinary<1>(aText.data(), aText.size());
}

std::string
LoadText(InputArchive& aArchive)
{
  std::string text(LoadCount<uint8_t>(aArchive, kMaxHostNameBytes), '\0');
  aArchive.loadBinary<1>(text.data(), text.size());
  return text;
}

CountedWindow
LoadWindow(InputArchive& aArchive)
{
  CountedWindow window;
  aArchive(window.m_window);
  const auto customers = LoadCount<uint16_t>(aArchive, kMaxCustomersPerWindow);
  for (uint16_t i = 0; i < customers; ++i) {
    std::string customer = LoadText(aArchive);
    uint32_t count = 0;
    aArchive(count);
    window.m_counts[std::move(customer)] = count;
  }
  return window;
}

std::span<const std::byte>
BytesOf(std::string_view aText)
{
  return std::as_bytes(std::span(aText.data(), aText.size()));
}

} // namespace

std::string
EncodeCounts(const CountMessage& aMessage)
{
  std::ostringstream stream;
  OutputArchive archive(stream);
  SaveText(archive, aMessage.m_host);
  archive(aMessage.m_run,
          aMessage.m_epoch,
          aMessage.m_finalThrough,
          static_cast<uint8_t>(aMessage.m_windows.size()));
  for (const CountedWindow& window : aMessage.m_windows) {
    archive(window.m_window, static_cast<uint16_t>(window.m_counts.size()));
    for (const auto& [customer, count] : window.m_counts) {
      SaveText(archive, customer);
      archive(static_cast<uint32_t>(count));
    }
  }
  return stream.str();
}

absl::StatusOr<CountMessage>
DecodeCounts(std::string_view aBytes)
{
  return protocol::DecodeArchive(
    BytesOf(aBytes),
    "usage counts",
    "a complete message within its limits",
    [](InputArchive& aArchive, std::istream&) {
      CountMessage message;
      message.m_host = LoadText(aArchive);
      aArchive(message.m_run, message.m_epoch, message.m_finalThrough);
      const auto windows = LoadCount<uint8_t>(aArchive, kMaxWindows);
      for (uint8_t i = 0; i < windows; ++i) {
        message.m_windows.push_back(LoadWindow(aArchive));
      }
      return message;
    });
}

std::string
EncodeReceipt(const CountReceipt& aReceipt)
{
  return boost::json::serialize(
    boost::json::value{ { "decided_through", aReceipt.m_decidedThrough } });
}

absl::StatusOr<CountReceipt>
DecodeReceipt(std::string_view aText)
{
  return kernel::ParseMessage<CountReceipt>(
    aText, "usage receipt", [](kernel::SettingsReader& aReader) {
      CountReceipt receipt;
      receipt.m_decidedThrough = static_cast<WindowId>(
        aReader.Integer("decided_through", { 0, INT64_MAX }));
      return receipt;
    });
}

std::string
EncodeHolder(const Holder& aHolder)
{
  std::ostringstream stream;
  OutputArchive archive(stream);
  archive(aHolder.m_epoch);
  SaveText(archive, aHolder.m_host);
  return stream.str();
}

absl::StatusOr<Holder>
DecodeHolder(std::string_view aBytes)
{
  return protocol::DecodeArchive(BytesOf(aBytes),
                                 "usage holder",
                                 "an epoch and a name",
                                 [](InputArchive& aArchive, std::istream&) {
                                   Holder holder;
                                   aArchive(holder.m_epoch);
                                   holder.m_host = LoadText(aArchive);
                                   return holder;
                                 });
}

std::string
EncodeContent(const CustomerCounts& aCounts)
{
  boost::json::object customers;
  for (const auto& [customer, count] : aCounts) {
    customers[customer] = count;
  }
  return boost::json::serialize(
    boost::json::value{ { "customers", std::move(customers) } });
}

absl::StatusOr<CustomerCounts>
DecodeContent(std::string_view aText)
{
  const absl::StatusOr<boost::json::value> value =
    kernel::ParseJson(aText, "usage content");
  if (!value.ok()) {
    return value.status();
  }
  const boost::json::object* content = value->if_object();
  const boost::json::value* customers =
    content == nullptr ? nullptr : content->if_contains("customers");
  const absl::Status invalid =
    core::ToStatus(core::InvalidInput{ "usage content", "counts by customer" });
  if (customers == nullptr || !customers->is_object()) {
    return invalid;
  }
  CustomerCounts counts;
  for (const auto& [customer, count] : customers->get_object()) {
    if (!count.is_number() || (count.is_int64() && count.get_int64() < 0)) {
      return invalid;
    }
    boost::system::error_code error;
    counts[std::string(customer)] = count.to_number<uint64_t>(error);
    if (error) {
      return invalid;
    }
  }
  return counts;
}

} // namespace heatherdeal::usage
