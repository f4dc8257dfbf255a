#include "relay/internal/calldescription.h"

#include "boost/json/serialize.hpp"

#include "kernel/json.h"

namespace heatherdeal::relay {

std::string
ToJson(const CallDescription& aDescription)
{
  boost::json::object value{ { "id", aDescription.m_id },
                             { "route", aDescription.m_route },
                             { "generation", aDescription.m_generation },
                             { "time_left_ms", aDescription.m_timeLeftMs },
                             { "fingerprint",
                               std::to_string(aDescription.m_fingerprint) } };
  if (const auto* resume =
        std::get_if<ResumeStream>(&aDescription.m_position)) {
    value["resumes"] = resume->m_stream.m_value;
  }
  // Hosts of earlier releases reject this field, so that it is written only if
  // it is used.
  if (!aDescription.m_customer.m_value.empty()) {
    value["customer"] = aDescription.m_customer.m_value;
  }
  return boost::json::serialize(value);
}

absl::StatusOr<CallDescription>
ParseDescription(std::string_view aText)
{
  return kernel::ParseMessage<CallDescription>(
    aText, "relayed call", [](kernel::SettingsReader& aReader) {
      CallDescription description;
      description.m_id = aReader.AnyText("id");
      description.m_route = aReader.AnyText("route");
      description.m_generation =
        static_cast<uint64_t>(aReader.Integer("generation", { 0, INT64_MAX }));
      description.m_timeLeftMs =
        aReader.Integer("time_left_ms", { 0, kMaxTimeLeftMs });
      description.m_fingerprint =
        std::strtoull(aReader.AnyText("fingerprint").c_str(), nullptr, 10);
      if (aReader.OptionalValue("resumes") != nullptr) {
        description.m_position = ResumeStream{ { aReader.AnyText("resumes") } };
      }
      description.m_customer.m_value = aReader.TextOr("customer", "");
      return description;
    });
}

} // namespace heatherdeal::relay
