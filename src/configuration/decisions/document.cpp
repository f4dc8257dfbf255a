#include "configuration/document.h"

#include <algorithm>
#include <set>

#include "core/overloaded.h"

namespace heatherdeal::configuration {

namespace {

using Errors = std::vector<core::InvalidSetting>;

std::string
JobPath(size_t aIndex, std::string_view aField)
{
  return "$.jobs[" + std::to_string(aIndex) + "]." + std::string(aField);
}

void
CheckNames(const Document& aDocument, Errors& aErrors)
{
  std::set<std::string> services;
  for (size_t i = 0; i < aDocument.m_services.size(); ++i) {
    const std::string& name = aDocument.m_services[i].m_name.m_value;
    if (!services.insert(name).second) {
      aErrors.push_back({ "$.services[" + std::to_string(i) + "].name",
                          name,
                          "a name used once" });
    }
  }
  std::set<std::string> jobs;
  for (size_t i = 0; i < aDocument.m_jobs.size(); ++i) {
    const std::string& name = aDocument.m_jobs[i].m_name.m_value;
    if (!jobs.insert(name).second) {
      aErrors.push_back({ JobPath(i, "name"), name, "a name used once" });
    }
  }
}

void
CheckJob(const Document& aDocument, size_t aIndex, Errors& aErrors)
{
  const Job& job = aDocument.m_jobs[aIndex];
  const Service* engines = FindService(aDocument, job.m_service);
  if (engines == nullptr ||
      !std::holds_alternative<ModelEngines>(engines->m_kind)) {
    aErrors.push_back({ JobPath(aIndex, "service"),
                        job.m_service.m_value,
                        "the name of a service of engines" });
  }
  const Service* scorer = FindService(aDocument, job.m_scorer);
  if (scorer == nullptr ||
      !std::holds_alternative<PlainServers>(scorer->m_kind)) {
    aErrors.push_back({ JobPath(aIndex, "scorer"),
                        job.m_scorer.m_value,
                        "the name of a plain service" });
  }
}

} // namespace

const Service*
FindService(const Document& aDocument, const core::ServiceId& aName)
{
  const auto found =
    std::ranges::find(aDocument.m_services, aName, &Service::m_name);
  return found == aDocument.m_services.end() ? nullptr : &*found;
}

std::vector<core::InvalidSetting>
Validate(const Document& aDocument)
{
  Errors errors;
  CheckNames(aDocument, errors);
  for (size_t i = 0; i < aDocument.m_jobs.size(); ++i) {
    CheckJob(aDocument, i, errors);
  }
  return errors;
}

std::vector<core::InvalidSetting>
ValidateChange(const Document& aInForce, const Document& aOffered)
{
  Errors errors;
  for (size_t i = 0; i < aOffered.m_jobs.size(); ++i) {
    const Job& job = aOffered.m_jobs[i];
    const auto old =
      std::ranges::find(aInForce.m_jobs, job.m_name, &Job::m_name);
    if (old == aInForce.m_jobs.end()) {
      continue;
    }
    // The groups that a trainer holds are numbered within a shard.
    if (old->m_shards != job.m_shards) {
      errors.push_back({ JobPath(i, "shards"),
                         std::to_string(job.m_shards),
                         "the number in force; a new job may differ" });
    }
    if (old->m_promptsFile != job.m_promptsFile) {
      errors.push_back({ JobPath(i, "prompts_file"),
                         job.m_promptsFile,
                         "the file in force; a new job may differ" });
    }
  }
  return errors;
}

bool
MustReplace(const Identity& aInForce, const Identity& aOffered)
{
  return aOffered.m_generation > aInForce.m_generation;
}

bool
IsContradiction(const Identity& aInForce, const Identity& aOffered)
{
  return aOffered.m_generation == aInForce.m_generation &&
         aOffered.m_digest != aInForce.m_digest;
}

} // namespace heatherdeal::configuration
