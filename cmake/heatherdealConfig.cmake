include(CMakeFindDependencyMacro)
find_dependency(absl)
include("${CMAKE_CURRENT_LIST_DIR}/heatherdealTargets.cmake")
