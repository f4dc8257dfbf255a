// Prints the configuration of the request line example: a training job that
// shares its engines with live prompts, a plain service for look-ups and the
// job's scorer. Takes the path of the prompts file as an optional argument.

#include <iostream>

#include "configuration/documentjson.h"

namespace {

using namespace heatherdeal;

configuration::Service
MakePresenterService()
{
  configuration::ModelEngines engines;
  engines.m_weights = "presenter";
  engines.m_trainingCeilingPercent = 75;
  engines.m_floorPercent = 50;
  engines.m_concurrentLoads = 2;
  configuration::Service service;
  service.m_name.m_value = "presenter-model";
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
MakeOnAirRepliesJob(std::string_view aPromptsFile)
{
  configuration::Job job;
  job.m_name.m_value = "on-air-replies";
  job.m_trainer.m_value = "presenter-trainer";
  job.m_service.m_value = "presenter-model";
  job.m_scorer.m_value = "reply-scorer";
  job.m_promptsFile = aPromptsFile;
  job.m_policy.m_groupsPerBatch = 4;
  job.m_policy.m_samplesPerGroup = 4;
  job.m_policy.m_stalenessBound = 2;
  // Fresh samples matter most in this job, so the groups in progress are
  // limited to one batch.
  job.m_policy.m_admissionPolicy = rollout::StalenessAdmission{ 1.0 };
  job.m_policy.m_stragglerPolicy = rollout::OutOfOrder{ 2 };
  return job;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  configuration::Document document;
  document.m_services = { MakePresenterService(),
                          MakePlainService("playlist"),
                          MakePlainService("reply-scorer") };
  document.m_jobs = { MakeOnAirRepliesJob(aArgc > 1 ? aArgv[1]
                                                    : "prompts.jsonl") };
  std::cout << configuration::ToJson(document) << '\n';
  return configuration::Validate(document).empty() ? 0 : 1;
}
