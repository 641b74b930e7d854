/** In the joining phase, an unchanged report is sent again after so many heartbeats, in case one was lost. */
export const resendHeartbeats = 8;
