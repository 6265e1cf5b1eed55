# Warnings, sanitizers and precompiled headers for the project's targets.
function(galenawell_configure_target target)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror)
    # Designated initialisers omit members with defaults on purpose. g++ 12 reports a mismatched delete for every coroutine
    # frame that Asio allocates.
    target_compile_options(${target} PRIVATE -Wno-missing-field-initializers
        $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
    if(GALENAWELL_SANITIZE)
        # The instrumentation makes g++ 12 report initialised optionals as uninitialised on arm64. The release build keeps
        # this warning an error.
        target_compile_options(${target} PRIVATE -fsanitize=${GALENAWELL_SANITIZE} -fno-omit-frame-pointer
            $<$<CXX_COMPILER_ID:GNU>:-Wno-error=maybe-uninitialized>)
        target_link_options(${target} PRIVATE -fsanitize=${GALENAWELL_SANITIZE})
    endif()
    if(GALENAWELL_PCH)
        # ccache needs this to hash the precompiled header's sources with g++.
        target_compile_options(${target} PRIVATE -fpch-preprocess)
    endif()
endfunction()

# Adds a test program with ctest labels LABELS, a timeout of TIMEOUT seconds (default 120) and JOBS cases at once (default 2).
function(galenawell_add_test name)
    cmake_parse_arguments(ARG "" "TIMEOUT;JOBS" "SOURCES;LABELS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    galenawell_configure_target(${name})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(${name} PRIVATE galenawell criterion rapidcheck)
    if(GALENAWELL_PCH)
        target_precompile_headers(${name} REUSE_FROM galenawell)
    endif()
    if(NOT ARG_JOBS)
        set(ARG_JOBS 2)
    endif()
    add_test(NAME ${name} COMMAND ${name} --jobs ${ARG_JOBS})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 120)
    endif()
    set_tests_properties(${name} PROPERTIES LABELS "${ARG_LABELS}" TIMEOUT ${ARG_TIMEOUT}
        ENVIRONMENT "GALENAWELL_BIN=${CMAKE_BINARY_DIR}/bin")
endfunction()
