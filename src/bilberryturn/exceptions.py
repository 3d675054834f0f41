"""Define the base class of the project's exceptions."""


class BilberryturnError(Exception):
    """An error with a remedy.

    Attributes:
        problem: Description of the error.
        remedy: What the reader can do to correct it.
    """

    def __init__(self, problem: str, remedy: str):
        super().__init__(f"{problem}. {remedy}.")
        self.problem = problem
        self.remedy = remedy
