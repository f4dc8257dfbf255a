#include "boost/json/serialize.hpp"

#include "http/httpmodule.h"
#include "kernel/plugin.h"
#include "standin/objectapi/objectapi.h"

// Plug-in that serves the stand-in for the platform's object API, which also
// holds the host list and the weight versions.

namespace heatherdeal::standin {

namespace {

constexpr std::string_view kModuleName = "objectapi";

struct ObjectApiSettings
{
  bool m_enabled = false;
  std::vector<InitialObject> m_objects;
};

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  ObjectApiSettings settings;
  settings.m_enabled = aReader.FlagOr("enabled", false);
  aReader.ForEach(
    "objects", [&](const boost::json::value& aValue, std::string_view aPath) {
      kernel::SettingsReader reader(aValue, aPath, aReader.Errors());
      InitialObject object;
      object.m_key.m_kind = reader.Text("kind");
      object.m_key.m_name = reader.Text("name");
      if (const boost::json::value* value = reader.OptionalValue("value")) {
        object.m_value = boost::json::serialize(*value);
      }
      settings.m_objects.push_back(std::move(object));
    });
  return settings;
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  const auto& settings = std::any_cast<const ObjectApiSettings&>(aSettings);
  if (!settings.m_enabled) {
    return absl::OkStatus();
  }
  auto api = std::make_shared<ObjectApi>(aContext);
  for (const InitialObject& object : settings.m_objects) {
    api->AddObject(object);
  }
  api->AddRoutes();
  return absl::OkStatus();
}

constexpr std::string_view kDependencies[] = { http::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kDependencies,
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = nullptr,
} };

} // namespace

} // namespace heatherdeal::standin
