#include "configuration/internal/jobjson.h"

#include "core/overloaded.h"

namespace heatherdeal::configuration {

namespace {

constexpr int64_t kMaxShards = 1024;
constexpr int64_t kMaxGroups = 65536;
constexpr int64_t kMaxSamples = 1024;
constexpr int64_t kMaxStalenessBound = 1000;
constexpr int64_t kMaxTokens = 10'000'000;
constexpr int64_t kMaxWeight = 1000;
constexpr int64_t kMaxMilliseconds = 3'600'000;
constexpr double kMaxBatchesAhead = 100.0;
constexpr std::string_view kStragglerPolicyNames[] = { "wait-for-all",
                                                       "out-of-order",
                                                       "migrate-late" };
constexpr std::string_view kAdmissionPolicyNames[] = { "staleness",
                                                       "unlimited",
                                                       "synchronous" };

constexpr std::string_view kStalenessPolicyNames[] = { "hold-batch",
                                                       "make-again" };

uint32_t
ReadCount(kernel::SettingsReader& aReader,
          std::string_view aName,
          int64_t aMinimum,
          int64_t aMaximum,
          uint32_t aDefault)
{
  return static_cast<uint32_t>(
    aReader.IntegerOr(aName, { aMinimum, aMaximum }, aDefault));
}

rollout::StragglerPolicy
ParseStragglerPolicy(kernel::SettingsReader& aReader)
{
  const size_t choice = aReader.ChoiceOr("straggler", kStragglerPolicyNames, 1);
  const uint32_t extraGroups =
    ReadCount(aReader, "extra_groups", 0, kMaxGroups, 2);
  const uint32_t lateGroups =
    ReadCount(aReader, "late_groups", 0, kMaxGroups, 2);
  const uint32_t loadGapPercent =
    ReadCount(aReader, "load_gap_percent", 0, 100, 30);
  switch (choice) {
    case 0:
      return rollout::WaitForAll{};
    case 2:
      return rollout::MigrateLate{ extraGroups, lateGroups, loadGapPercent };
    default:
      return rollout::OutOfOrder{ extraGroups };
  }
}

rollout::AdmissionPolicy
ParseAdmissionPolicy(kernel::SettingsReader& aReader)
{
  const size_t choice = aReader.ChoiceOr("admission", kAdmissionPolicyNames, 0);
  const double batchesAhead =
    aReader.NumberOr("batches_ahead", 0.1, kMaxBatchesAhead, 2.0);
  switch (choice) {
    case 1:
      return rollout::UnlimitedAdmission{};
    case 2:
      return rollout::SynchronousAdmission{};
    default:
      return rollout::StalenessAdmission{ batchesAhead };
  }
}

rollout::StalenessPolicy
ParseStalenessPolicy(kernel::SettingsReader& aReader)
{
  if (aReader.ChoiceOr("too_old", kStalenessPolicyNames, 0) == 1) {
    return rollout::RegenerateSamples{};
  }
  return rollout::HoldBatch{};
}

void
AddStragglerPolicy(boost::json::object& aObject,
                   const rollout::StragglerPolicy& aPolicy)
{
  std::visit(core::Overloaded{
               [&](const rollout::WaitForAll&) {
                 aObject["straggler"] = "wait-for-all";
               },
               [&](const rollout::OutOfOrder& aOutOfOrder) {
                 aObject["straggler"] = "out-of-order";
                 aObject["extra_groups"] = aOutOfOrder.m_extraGroups;
               },
               [&](const rollout::MigrateLate& aMigrateLate) {
                 aObject["straggler"] = "migrate-late";
                 aObject["extra_groups"] = aMigrateLate.m_extraGroups;
                 aObject["late_groups"] = aMigrateLate.m_maxMissingGroups;
                 aObject["load_gap_percent"] = aMigrateLate.m_loadGapPercent;
               } },
             aPolicy);
}

void
AddAdmissionPolicy(boost::json::object& aObject,
                   const rollout::AdmissionPolicy& aPolicy)
{
  std::visit(
    core::Overloaded{ [&](const rollout::StalenessAdmission& aStaleness) {
                       aObject["admission"] = "staleness";
                       aObject["batches_ahead"] = aStaleness.m_batchesAhead;
                     },
                      [&](const rollout::UnlimitedAdmission&) {
                        aObject["admission"] = "unlimited";
                      },
                      [&](const rollout::SynchronousAdmission&) {
                        aObject["admission"] = "synchronous";
                      } },
    aPolicy);
}

} // namespace

int64_t
ToMilliseconds(core::Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

Job
ParseJob(kernel::SettingsReader& aReader)
{
  Job job;
  job.m_name.m_value = aReader.Text("name");
  job.m_trainer.m_value = aReader.Text("trainer");
  job.m_service.m_value = aReader.Text("service");
  job.m_scorer.m_value = aReader.Text("scorer");
  job.m_promptsFile = aReader.Text("prompts_file");
  job.m_shards = ReadCount(aReader, "shards", 1, kMaxShards, 1);
  job.m_weight = ReadCount(aReader, "weight", 1, kMaxWeight, 1);
  rollout::ShardPolicy& policy = job.m_policy;
  policy.m_groupsPerBatch =
    ReadCount(aReader, "groups_per_batch", 1, kMaxGroups, 8);
  policy.m_samplesPerGroup =
    ReadCount(aReader, "samples_per_group", 1, kMaxSamples, 4);
  policy.m_stalenessBound =
    ReadCount(aReader, "staleness_bound", 0, kMaxStalenessBound, 2);
  policy.m_maxTokens = ReadCount(aReader, "max_tokens", 1, kMaxTokens, 4096);
  policy.m_stragglerPolicy = ParseStragglerPolicy(aReader);
  policy.m_admissionPolicy = ParseAdmissionPolicy(aReader);
  policy.m_stalenessPolicy = ParseStalenessPolicy(aReader);
  const kernel::Range range{ 1, kMaxMilliseconds };
  policy.m_newestWeightsTimeout = aReader.MillisecondsOr(
    "fresh_wait_ms", { 0, kMaxMilliseconds }, policy.m_newestWeightsTimeout);
  policy.m_progressTimeout =
    aReader.MillisecondsOr("progress_time_ms", range, policy.m_progressTimeout);
  policy.m_scoringTimeout =
    aReader.MillisecondsOr("scoring_time_ms", range, policy.m_scoringTimeout);
  return job;
}

boost::json::object
ToObject(const Job& aJob)
{
  const rollout::ShardPolicy& policy = aJob.m_policy;
  boost::json::object object{
    { "name", aJob.m_name.m_value },
    { "trainer", aJob.m_trainer.m_value },
    { "service", aJob.m_service.m_value },
    { "scorer", aJob.m_scorer.m_value },
    { "prompts_file", aJob.m_promptsFile },
    { "shards", aJob.m_shards },
    { "weight", aJob.m_weight },
    { "groups_per_batch", policy.m_groupsPerBatch },
    { "samples_per_group", policy.m_samplesPerGroup },
    { "staleness_bound", policy.m_stalenessBound },
    { "max_tokens", policy.m_maxTokens },
    { "fresh_wait_ms", ToMilliseconds(policy.m_newestWeightsTimeout) },
    { "progress_time_ms", ToMilliseconds(policy.m_progressTimeout) },
    { "scoring_time_ms", ToMilliseconds(policy.m_scoringTimeout) }
  };
  AddStragglerPolicy(object, policy.m_stragglerPolicy);
  AddAdmissionPolicy(object, policy.m_admissionPolicy);
  object["too_old"] = std::visit(
    core::Overloaded{
      [](const rollout::HoldBatch&) { return "hold-batch"; },
      [](const rollout::RegenerateSamples&) { return "make-again"; } },
    policy.m_stalenessPolicy);
  return object;
}

} // namespace heatherdeal::configuration
