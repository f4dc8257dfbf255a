#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace heatherdeal::core {

/// A string identifier; the tag makes identifiers of different kinds distinct
/// types.
template<typename Tag>
struct Name
{
  std::string m_value;

  auto operator<=>(const Name&) const = default;
};

using HostId = Name<struct HostTag>;
using UpstreamId = Name<struct UpstreamTag>;
using JobId = Name<struct JobTag>;
using TrainerId = Name<struct TrainerTag>;
using ServiceId = Name<struct ServiceTag>;
using FailureDomainId = Name<struct FailureDomainTag>;
using CustomerId = Name<struct CustomerTag>;
using SoftwareVersion = Name<struct SoftwareVersionTag>;

/// Identifies a part of a job. One owner at a time generates and delivers its
/// samples.
struct ShardId
{
  JobId m_job;
  uint32_t m_index = 0;

  auto operator<=>(const ShardId&) const = default;
};

/// Zero-based position of a group within its shard.
using GroupOrdinal = uint64_t;

/// Identifies a sample within its shard.
struct SampleId
{
  GroupOrdinal m_group = 0;
  /// Zero-based index of the sample within its group.
  uint32_t m_member = 0;

  auto operator<=>(const SampleId&) const = default;
};

/// The software that an upstream runs, whatever its weights. Text of one
/// software cannot be continued by another.
struct Software
{
  ServiceId m_service;
  /// Empty if the deployment does not tell versions apart.
  SoftwareVersion m_version;

  auto operator<=>(const Software&) const = default;
};

/// Identifies one run of an upstream's process, on every host alike; a restart
/// gets another value.
struct UpstreamRun
{
  uint64_t m_value = 0;

  auto operator<=>(const UpstreamRun&) const = default;
};

/// An IPv4 or IPv6 address in text form and a port.
struct Endpoint
{
  std::string m_address;
  uint16_t m_port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

} // namespace heatherdeal::core
