/** How a cut shows to the sender: nothing comes back, the connection is refused at once, or it is accepted and then reset. */
export type CutMode = 'silent' | 'refused' | 'reset';
