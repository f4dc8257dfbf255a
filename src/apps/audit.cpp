#include <fstream>
#include <iostream>
#include <iterator>

#include "cxxopts.hpp"

#include "audit/audit.h"
#include "kernel/json.h"

namespace heatherdeal::audit {

namespace {

constexpr int kUsage = 2;
constexpr int kInvalid = 3;

std::vector<core::Endpoint>
ParsePeers(kernel::SettingsReader& aReader, std::string_view aName)
{
  std::vector<core::Endpoint> peers;
  aReader.ForEach(
    aName, [&](const boost::json::value& aValue, std::string_view aPath) {
      kernel::SettingsReader element(aValue, aPath, aReader.Errors());
      core::Endpoint peer;
      peer.m_address = element.TextOr("address", "127.0.0.1");
      peer.m_port =
        static_cast<uint16_t>(element.Integer("port", { 1, 65535 }));
      peers.push_back(std::move(peer));
    });
  return peers;
}

AuditSettings
ParseAudit(kernel::SettingsReader& aReader)
{
  AuditSettings settings;
  settings.m_deployment = aReader.Text("deployment");
  settings.m_trainers = ParsePeers(aReader, "trainers");
  settings.m_callers = ParsePeers(aReader, "callers");
  settings.m_plainServices = ParsePeers(aReader, "plain_services");
  settings.m_engines = ParsePeers(aReader, "engines");
  settings.m_limit =
    aReader.MillisecondsOr("limit_ms", { 1, 3'600'000 }, settings.m_limit);
  return settings;
}

int
RunFile(std::string_view aFile)
{
  std::ifstream stream{ std::string(aFile) };
  const std::string text{ std::istreambuf_iterator<char>(stream), {} };
  const auto settings =
    kernel::ParseMessage<AuditSettings>(text, "$", ParseAudit);
  if (!settings.ok()) {
    std::cerr << "heatherdeal-audit: " << settings.status() << '\n';
    return kInvalid;
  }
  return RunAudit(*settings);
}

} // namespace

} // namespace heatherdeal::audit

int
main(int aArgc, char** aArgv)
{
  cxxopts::Options options(
    "heatherdeal-audit", "Checks what the stand-ins of a deployment observed");
  options.add_options()("h,help", "print this help")(
    "settings", "settings file in JSON", cxxopts::value<std::string>(), "FILE");
  try {
    const cxxopts::ParseResult parsed = options.parse(aArgc, aArgv);
    if (parsed.count("help") > 0 || parsed.count("settings") == 0) {
      std::cout << options.help() << '\n';
      return parsed.count("help") > 0 ? 0 : heatherdeal::audit::kUsage;
    }
    return heatherdeal::audit::RunFile(parsed["settings"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "heatherdeal-audit: " << error.what() << '\n';
    return heatherdeal::audit::kUsage;
  }
}
