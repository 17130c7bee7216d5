# Tests that fail for a fault not mended yet; each has an entry in KNOWN-RED.txt.
set(KNOWN_RED_TESTS
    "Loads/Expiry.callersRefuseWhatWouldExpireInTheQueue/*:KnownRed/EvenLoadBound.*:KnownRed/EvenLoadSizes.allServers*")

# Declares the static library NAME from src/*.cpp with public headers in include/NAME,
# and a test program NAME_tests from tests/*Test.cpp when there are any.
# DEPENDS lists what the public headers need; TEST_DEPENDS what only the tests need.
# SHARDS splits a slow test program into as many processes, each with a part of its tests.
function(fuchsiadock_library NAME)
    cmake_parse_arguments(ARG "" "SHARDS" "DEPENDS;TEST_DEPENDS" ${ARGN})
    file(GLOB SOURCES CONFIGURE_DEPENDS
        ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp ${CMAKE_CURRENT_SOURCE_DIR}/src/details/*.cpp)
    if(SOURCES)
        add_library(${NAME} STATIC ${SOURCES})
        target_include_directories(${NAME} PUBLIC include PRIVATE src)
        target_link_libraries(${NAME} PUBLIC ${ARG_DEPENDS})
    else()
        add_library(${NAME} INTERFACE)
        target_include_directories(${NAME} INTERFACE include)
        target_link_libraries(${NAME} INTERFACE ${ARG_DEPENDS})
    endif()
    file(GLOB TESTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*Test.cpp)
    if(TESTS)
        add_executable(${NAME}_tests ${TESTS})
        target_include_directories(${NAME}_tests PRIVATE src tests)
        target_link_libraries(${NAME}_tests PRIVATE
            ${NAME} ${ARG_TEST_DEPENDS} GTest::gtest GTest::gtest_main rapidcheck Threads::Threads)
        if(NOT ARG_SHARDS)
            set(ARG_SHARDS 1)
        endif()
        math(EXPR LAST_SHARD "${ARG_SHARDS} - 1")
        foreach(SHARD RANGE ${LAST_SHARD})
            set(TEST_NAME ${NAME})
            if(ARG_SHARDS GREATER 1)
                set(TEST_NAME ${NAME}_${SHARD})
            endif()
            add_test(NAME ${TEST_NAME} COMMAND ${NAME}_tests)
            # A fixed seed gives the property tests the same cases in every run.
            set_tests_properties(${TEST_NAME} PROPERTIES ENVIRONMENT
                "RC_PARAMS=seed=20260101;GTEST_FILTER=-${KNOWN_RED_TESTS};GTEST_TOTAL_SHARDS=${ARG_SHARDS};GTEST_SHARD_INDEX=${SHARD}")
        endforeach()
    endif()
endfunction()
