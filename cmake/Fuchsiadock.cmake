# Declares the static library NAME from src/*.cpp with public headers in include/NAME,
# and a test program NAME_tests from tests/*Test.cpp when there are any.
# DEPENDS lists what the public headers need; TEST_DEPENDS what only the tests need.
function(fuchsiadock_library NAME)
    cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_DEPENDS" ${ARGN})
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
        add_test(NAME ${NAME} COMMAND ${NAME}_tests)
        # A fixed seed gives the property tests the same cases in every run.
        set_tests_properties(${NAME} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20260101")
    endif()
endfunction()
