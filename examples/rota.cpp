// Prints the configuration of the gallery rota example: a training job that
// shares its engines with live prompts, a plain service for look-ups and the
// job's scorer. Takes the path of the prompts file as an optional argument.

#include <iostream>

#include "configuration/documentjson.h"

namespace {

using namespace heatherdeal;

configuration::Service
MakeAssistantService()
{
  configuration::ModelEngines engines;
  engines.m_weights = "assistant";
  engines.m_trainingCeilingPercent = 75;
  engines.m_floorPercent = 50;
  engines.m_concurrentLoads = 2;
  configuration::Service service;
  service.m_name.m_value = "assistant-model";
  service.m_kind = engines;
  return service;
}

configuration::Service
MakePlainService(std::string_view aName)
{
  configuration::Service service;
  service.m_name.m_value = aName;
  service.m_kind = configuration::PlainServers{};
  return service;
}

configuration::Job
MakeSwapOffersJob(std::string_view aPromptsFile)
{
  configuration::Job job;
  job.m_name.m_value = "swap-offers";
  job.m_trainer.m_value = "assistant-trainer";
  job.m_service.m_value = "assistant-model";
  job.m_scorer.m_value = "offer-scorer";
  job.m_promptsFile = aPromptsFile;
  job.m_policy.m_groupsPerBatch = 4;
  job.m_policy.m_samplesPerGroup = 4;
  job.m_policy.m_stalenessBound = 2;
  // Low idle time matters most in this job, so up to two batches of groups are
  // in progress, and late samples migrate to less loaded engines.
  job.m_policy.m_admissionPolicy = rollout::StalenessAdmission{ 2.0 };
  job.m_policy.m_stragglerPolicy = rollout::MigrateLate{ 4, 2, 30 };
  return job;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  configuration::Document document;
  document.m_services = { MakeAssistantService(),
                          MakePlainService("rota-portal"),
                          MakePlainService("offer-scorer") };
  document.m_jobs = { MakeSwapOffersJob(aArgc > 1 ? aArgv[1]
                                                  : "prompts.jsonl") };
  std::cout << configuration::ToJson(document) << '\n';
  return configuration::Validate(document).empty() ? 0 : 1;
}
