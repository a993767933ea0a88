include(CMakeFindDependencyMacro)
find_dependency(Boost 1.81 COMPONENTS json)
find_dependency(OpenSSL)
include("${CMAKE_CURRENT_LIST_DIR}/pimentospar-targets.cmake")
