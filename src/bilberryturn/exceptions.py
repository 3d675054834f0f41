"""Define the base class of all errors of the product."""


class BilberryturnError(Exception):
    """Reports a failure together with what to do about it.

    Attributes:
        problem: What is wrong.
        remedy: What the reader can do.
    """

    def __init__(self, problem: str, remedy: str):
        super().__init__(f"{problem}. {remedy}.")
        self.problem = problem
        self.remedy = remedy
