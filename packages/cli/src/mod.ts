/** The command-line tool has no library face. */
export {};
