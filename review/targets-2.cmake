# Stand-ins of the second review; review/build-2.sh includes this file right after project().
function(add_review_case name)
    add_executable(review-2-${name} review/second/${name}.cpp review/second/deployment.cpp platform/soak/proxy.cpp
        platform/standins/store.cpp platform/standins/backends.cpp)
    set_target_properties(review-2-${name} PROPERTIES CXX_STANDARD 20 CXX_STANDARD_REQUIRED ON
        RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
    target_include_directories(review-2-${name} PRIVATE ${PROJECT_SOURCE_DIR})
    target_link_libraries(review-2-${name} PRIVATE clementinelift_platform Boost::system Threads::Threads)
endfunction()

file(GLOB cases ${PROJECT_SOURCE_DIR}/review/second/*.cpp)
foreach(case ${cases})
    get_filename_component(name ${case} NAME_WE)
    if(NOT name STREQUAL deployment)
        add_review_case(${name})
    endif()
endforeach()
