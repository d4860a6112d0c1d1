# Installs the library, then builds the example against the installed package and runs it.
set(prefix ${BUILD}/install-test/prefix)
set(work ${BUILD}/install-test/build)
file(REMOVE_RECURSE ${BUILD}/install-test)
foreach(step "--install;${BUILD};--prefix;${prefix}"
             "-S;${SOURCE};-B;${work};-DCMAKE_PREFIX_PATH=${prefix};-DEXAMPLE=${EXAMPLE};-DCMAKE_CXX_FLAGS=${FLAGS}"
             "--build;${work}")
  execute_process(COMMAND ${CMAKE_COMMAND} ${step} RESULT_VARIABLE result)
  if(NOT result EQUAL 0)
    message(FATAL_ERROR "install test: cmake failed with the arguments: ${step}")
  endif()
endforeach()
execute_process(COMMAND ${work}/consumer RESULT_VARIABLE result OUTPUT_VARIABLE output)
if(NOT result EQUAL 0 OR NOT output MATCHES "send call 1 to server 7")
  message(FATAL_ERROR "install test: expected 'send call 1 to server 7' from the example, got: ${output}")
endif()
