// Choice of a backend server for each waiting task of a job.
//
// Meant for loads in which tasks of very different length compete for backend servers of very different speed, on
// hundreds of backend servers that are commanded by dozens of entry VMs.
#pragma once

#include "command/cold_start.h"

#include <optional>
#include <span>
#include <vector>

namespace clementinelift::command {

// Free capacity of one backend server, commanded here or by a peer.
struct Candidate
{
    std::string_view server;
    std::string_view node; // its commander; empty: this entry VM
    std::string_view service;
    Resources free;
    double speed = 1.0;
    TimeUs roundTripUs = 0;  // to its commander
    TimeUs startQueueUs = 0; // wait of a further start at the link of its commander, if that is a peer
    TimeUs perStartUs = 0;   // what each further start adds to it
    bool hasOrder = false;   // an order of the job to its commander, if that is a peer, is already being prepared
    std::uint16_t kind = 0;  // as numbered by the commander; 0: unknown
    std::uint32_t rack = 0;  // as numbered by the commander; 0: unknown
    Resources total;         // free, and in use by other tasks
    TimeUs endsByUs = never; // from now; its commander drains, and later runs are lost
    std::uint32_t startsLeft = unlimitedStarts; // not 0
};

// What a placing pass assumes of the network link of this entry VM. Every start here and every order to a peer carries
// the specification of the job over it.
struct LinkLoad
{
    TimeUs queuedUs = 0;   // wait of a further order
    TimeUs perOrderUs = 0; // what each further order adds to it
};

// A task to be placed.
struct PlacingTask
{
    std::string_view service;
    Resources resources;
    TimeUs workUs = 0;                        // run time on a backend server of speed 1
    TimeUs latestUs = 0;                      // from now; no candidate is chosen where the task ends later
    bool needsWholeServer = false;            // only a candidate without other tasks is chosen
    std::uint32_t rack = 0;                   // of its data; 0: any
    TimeUs farWorkUs = 0;                     // workUs on any other rack
    std::span<const double> kindFactors = {}; // of the speeds of candidates, by kind; empty: 1

    bool isFar(const Candidate &candidate) const { return rack != 0 && candidate.rack != rack; }
    // On a backend server with the speed of the candidate that runs all tasks alike.
    TimeUs workOn(const Candidate &candidate) const
    {
        const TimeUs placeWorkUs = isFar(candidate) ? farWorkUs : workUs;
        return candidate.kind < kindFactors.size()
                ? static_cast<TimeUs>(static_cast<double>(placeWorkUs) / kindFactors[candidate.kind])
                : placeWorkUs;
    }
};

// Expected time from now until a task starts on the candidate, and until it ends there.
TimeUs expectStart(const Candidate &candidate, const LinkLoad &link);
TimeUs expectFinish(const Candidate &candidate, const LinkLoad &link, TimeUs workUs);

// Index of the candidate with the earliest expected finish for a task of the service, where a candidate of this entry
// VM is preferred to a slightly faster one of a peer; nothing when no candidate has enough free capacity, is reached
// within maxStartDelayUs and finishes in time.
std::optional<std::size_t> choosePlace(std::span<const Candidate> candidates, const LinkLoad &link,
                                       const PlacingTask &task);

// Counts a further task on the chosen candidate: its capacity, and the load of the links that its order crosses.
void addTask(std::span<Candidate> candidates, std::size_t chosen, const Resources &taskResources, LinkLoad &link);

// For how many further tasks the candidates of the service have room, up to the limit.
std::size_t countRoom(std::span<const Candidate> candidates, std::string_view service, const Resources &taskResources,
                      std::size_t limit);

// What addTask() changes of the chosen candidate.
struct CandidateRoom
{
    Resources free;
    std::uint32_t startsLeft = unlimitedStarts;
};

// Reverts the last addTask() for the candidates, except for hasOrder.
void removeTask(std::span<Candidate> candidates, std::size_t chosen, const CandidateRoom &before);

} // namespace clementinelift::command
