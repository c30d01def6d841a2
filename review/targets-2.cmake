# Stand-ins of the second review; review/build-2.sh includes this file right after project().
foreach(name settings_stop late_start_after_restart store_down_twice configuration_after_outage crash_after_unseen_end)
    add_executable(review-2-${name} review/${name}.cpp review/deployment_2.cpp platform/soak/proxy.cpp
        platform/standins/store.cpp platform/standins/backends.cpp)
    set_target_properties(review-2-${name} PROPERTIES CXX_STANDARD 20 CXX_STANDARD_REQUIRED ON
        RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
    target_include_directories(review-2-${name} PRIVATE ${PROJECT_SOURCE_DIR})
    target_link_libraries(review-2-${name} PRIVATE clementinelift_platform Boost::system Threads::Threads)
endforeach()
