# Adds the library of one package from all sources of its folder, except
# main.cpp, which belongs to a program.
function(parsleytrack_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS "*.cpp" "generated/*.cpp")
  list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
  if(sources)
    add_library(parsleytrack_${name} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(parsleytrack_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(parsleytrack_${name}
    ${scope} "${PROJECT_SOURCE_DIR}/src")
  if(sources)
    target_compile_options(parsleytrack_${name}
      PRIVATE -Wall -Wextra -Wpedantic)
  endif()
  foreach(dependency ${ARG_DEPENDS})
    target_link_libraries(parsleytrack_${name}
      ${scope} parsleytrack_${dependency})
  endforeach()
  target_link_libraries(parsleytrack_${name} ${scope} ${ARG_LIBRARIES})
endfunction()

# Adds one CppUTest program, made of all sources of the calling folder.
function(parsleytrack_test name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS "*.cpp")
  if(NOT sources)
    return()
  endif()
  add_executable(test_${name} ${sources}
    "${PROJECT_SOURCE_DIR}/tests/test_main.cpp")
  target_include_directories(test_${name} PRIVATE "${PROJECT_SOURCE_DIR}/tests")
  target_compile_definitions(test_${name}
    PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
  target_compile_options(test_${name} PRIVATE -Wall -Wextra)
  foreach(dependency ${ARG_DEPENDS})
    target_link_libraries(test_${name} PRIVATE parsleytrack_${dependency})
  endforeach()
  target_link_libraries(test_${name} PRIVATE PkgConfig::CPPUTEST)
  add_test(NAME ${name} COMMAND test_${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 240)
endfunction()
