package org.dogwoodwinch.target;

/** Creates clients of targets; users provide their own implementation to connect targets of another kind. */
public interface TargetClients {

    /**
     * Returns a client of an engine.
     *
     * @param target the engine, not null
     * @return the client; cheap to create
     */
    EngineClient engine(Target target);

    /**
     * Returns a client of a target of a plain service.
     *
     * @param target the target, not null
     * @return the client; cheap to create
     */
    ServiceClient service(Target target);
}
