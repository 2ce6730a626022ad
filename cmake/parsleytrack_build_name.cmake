# Sets PARSLEYTRACK_BUILD, which nodes report: the commit, or the version of
# the project where there is no history.
function(parsleytrack_find_build_name)
  if(PARSLEYTRACK_BUILD)
    return()
  endif()
  set(name "${PROJECT_VERSION}")
  find_package(Git QUIET)
  if(GIT_FOUND AND EXISTS "${PROJECT_SOURCE_DIR}/.git")
    execute_process(
      COMMAND "${GIT_EXECUTABLE}" rev-parse --short=12 HEAD
      WORKING_DIRECTORY "${PROJECT_SOURCE_DIR}"
      OUTPUT_VARIABLE commit OUTPUT_STRIP_TRAILING_WHITESPACE
      RESULT_VARIABLE outcome ERROR_QUIET)
    if(outcome EQUAL 0)
      set(name "${commit}")
    endif()
    # A new commit changes the name.
    set(log "${PROJECT_SOURCE_DIR}/.git/logs/HEAD")
    if(EXISTS "${log}")
      set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS "${log}")
    endif()
  endif()
  set(PARSLEYTRACK_BUILD "${name}" PARENT_SCOPE)
endfunction()
