# Functions for the modules' CMakeLists.txt files.

# Adds decision sources to the library that other programs embed.
function(heatherdeal_decisions)
  foreach(source ${ARGN})
    target_sources(heatherdeal_coordination PRIVATE
      ${CMAKE_CURRENT_SOURCE_DIR}/${source})
  endforeach()
endfunction()

# Adds a module that does I/O. It is an object library, because the linker drops
# an unreferenced plug-in registration from a static library.
function(heatherdeal_module NAME)
  add_library(hd_${NAME} OBJECT ${ARGN})
  target_link_libraries(hd_${NAME} PUBLIC heatherdeal_coordination hd_settings)
  target_precompile_headers(hd_${NAME} REUSE_FROM hd_pch)
endfunction()

# Adds a binary from its main file and the modules that are linked into it.
function(heatherdeal_binary NAME MAIN)
  add_executable(${NAME} ${MAIN})
  target_link_libraries(${NAME} PRIVATE hd_thirdparty hd_kernel hd_sleep)
  foreach(module ${ARGN})
    target_link_libraries(${NAME} PRIVATE hd_${module})
  endforeach()
  install(TARGETS ${NAME})
endfunction()

# Adds a Catch2 test program. LINK names the modules that it uses.
function(heatherdeal_test NAME)
  if(NOT HEATHERDEAL_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_link_libraries(${NAME} PRIVATE hd_testmain heatherdeal_coordination)
  if(ARG_LINK)
    target_link_libraries(${NAME} PRIVATE
      hd_thirdparty OpenSSL::Crypto xxhash)
  endif()
  foreach(module ${ARG_LINK})
    target_link_libraries(${NAME} PRIVATE hd_${module})
  endforeach()
  add_test(NAME ${NAME} COMMAND ${NAME})
endfunction()
