#include "resumption/resumptionmodule.h"

#include "kernel/plugin.h"
#include "objectstore/objectstoremodule.h"
#include "resumption/streamorigins.h"

namespace heatherdeal::resumption {

namespace {

absl::Status
Start(kernel::Context& aContext, const std::any&)
{
  aContext.Provide(std::make_shared<StreamOrigins>(aContext));
  return absl::OkStatus();
}

boost::json::value
Dump(kernel::Context& aContext)
{
  return aContext.Get<StreamOrigins>()->Dump();
}

constexpr std::string_view kDependencies[] = { objectstore::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kDependencies,
  .m_parseSettings = kernel::ParseNoSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = Dump,
} };

} // namespace

} // namespace heatherdeal::resumption
