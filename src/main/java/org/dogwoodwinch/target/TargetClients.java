package org.dogwoodwinch.target;

/** Makes the clients of targets; the users' own bench fits its interfaces in here. */
public interface TargetClients {

    /**
     * Returns the client of an engine.
     *
     * @param target the engine, not null
     * @return its client; cheap to ask for
     */
    EngineClient engine(Target target);

    /**
     * Returns the client of a plain service's target.
     *
     * @param target the target, not null
     * @return its client; cheap to ask for
     */
    ServiceClient service(Target target);
}
