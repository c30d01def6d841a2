# Included by the project of the repository, see review/build.sh.
set(review_folder ${CMAKE_CURRENT_LIST_DIR})
function(add_review_program name)
    add_executable(review-${name} ${review_folder}/${name}.cpp ${review_folder}/deployment.cpp
        ${PROJECT_SOURCE_DIR}/platform/standins/store.cpp)
    target_link_libraries(review-${name} PRIVATE clementinelift_platform)
    target_compile_features(review-${name} PRIVATE cxx_std_20)
    target_compile_options(review-${name} PRIVATE -O2 -Wall -Wextra)
    set_target_properties(review-${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
add_review_program(recover)
add_review_program(stale)
add_review_program(cancel)
add_review_program(lapse)
