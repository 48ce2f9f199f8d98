// Carries requests from callers through instances to backend servers.
#ifndef POPLARSTAIR_TESTING_REQUEST_PATH_H_
#define POPLARSTAIR_TESTING_REQUEST_PATH_H_

#include <map>
#include <string>
#include <utility>

#include "poplarstair/testing/request_callers.h"
#include "poplarstair/testing/site_state.h"

namespace poplarstair {

class request_path {
 public:
  explicit request_path(site_state& site);

  request_callers& Callers() { return callers_; }

  // An instance's hooks.
  void StartAttempt(size_t i, incarnation life, const attempt& started);
  void CancelAttempt(size_t i, incarnation life, attempt_id id);
  void EndCall(size_t i, call_id call, const answer& given);

 private:
  struct running_request {
    size_t server = 0;
    uint64_t server_life = 0;
  };
  using attempt_key = std::pair<size_t, attempt_id>;

  void SendCall(call_id call, const request& wanted);
  void GiveUp(call_id call);
  void CarryAttempt(size_t i, incarnation life, const attempt& a);
  void ArriveAttempt(size_t i, incarnation life, size_t s, const attempt& a,
                     bool could_know);
  void ReturnEnd(size_t i, incarnation life, size_t s, const attempt_end& end);
  void EndAttempt(size_t i, incarnation life, const attempt_end& end);
  size_t ServerAt(const endpoint& request_address) const;
  const backend_server_config* ColdServer() const;

  site_state& site_;
  request_callers callers_;
  std::map<std::string, request> requests_;
  std::map<call_id, std::string> request_of_call_;
  std::map<attempt_key, running_request> running_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_REQUEST_PATH_H_
