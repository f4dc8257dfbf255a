# Installs the package for programs that embed the coordination library.
set(public_headers
  core/failure.h core/ids.h core/instant.h core/overloaded.h core/rendezvous.h core/sample.h
  core/weightversion.h
  configuration/customer.h configuration/document.h configuration/upstreamscaling.h
  delivery/deliverywindow.h delivery/doneset.h delivery/trainercursor.h
  discovery/addresses.h
  forwarding/attempts.h
  gossip/digest.h gossip/members.h
  lease/candidates.h lease/lease.h
  limits/limits.h
  objectstore/backoff.h objectstore/callbudget.h objectstore/object.h
  quarantine/suspects.h
  rollout/policy.h rollout/shard.h
  routing/choice.h routing/ejection.h routing/pacing.h
  usage/collection.h usage/countsending.h usage/reporting.h usage/windowcounts.h
  weights/rollingupdate.h)
foreach(header ${public_headers})
  get_filename_component(folder ${header} DIRECTORY)
  install(FILES src/${header} DESTINATION include/heatherdeal/${folder})
endforeach()
install(TARGETS heatherdeal_coordination EXPORT heatherdealTargets
  ARCHIVE DESTINATION lib)
install(EXPORT heatherdealTargets NAMESPACE heatherdeal::
  DESTINATION lib/cmake/heatherdeal)
install(FILES cmake/heatherdealConfig.cmake DESTINATION lib/cmake/heatherdeal)
